// What becomes of each request: a line of level debug for every step, and counts, which are logged as the
// program ends and whenever it is told to read its configuration again.
#pragma once

#include <cinderfront/controller.h>

#include <cstdint>

#include "agent/log.h"
#include "agent/seam.h"

namespace jasperspread::agent {

// Who ended a request.
enum class SettledBy : std::uint8_t {
    Server,      // with its answer
    Module,      // the decision module
    Deadline,    // the session table, as the module had said nothing
    ProgramEnd,  // the program, which is about to end
    Viewer,      // who has released it or left
};
enum class Settlement : std::uint8_t { Answered, Refused, Failed, GivenUp };

struct RequestCounts {
    std::uint64_t taken = 0, answered = 0, refused = 0, failed = 0, given_up = 0;
    std::uint64_t attempts = 0, retries = 0;  // retries: attempts after a request's first
    std::uint64_t settled_by_deadline = 0, settled_by_program_end = 0;
    std::uint64_t late_answers = 0;  // of servers, to attempts that were over
};

class RequestLog {
public:
    explicit RequestLog(Log& log) : log_(log) {}

    void taken(const SetUp& set_up);
    void attempt_sent(const Attempt& attempt, std::uint32_t number);
    // `number`: from 0, of the request's attempts.
    void attempt_ended(SessionId id, std::uint32_t number, ServerNumber server, cinderfront::Ending how);
    void settled(SessionId id, Settlement how, SettledBy who);
    void session_over(SessionId id, ServerNumber server, cinderfront::Ending how);
    void late_answer(SessionId id, ServerNumber server);

    const RequestCounts& counts() const { return counts_; }
    void report();

private:
    Log& log_;
    RequestCounts counts_;
};

}  // namespace jasperspread::agent
