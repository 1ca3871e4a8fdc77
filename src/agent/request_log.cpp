#include "request_log.h"

#include "codec/message.h"

namespace jasperspread::agent {
namespace {

using cinderfront::Ending;

const char* name_of(Ending how) {
    switch (how) {
        case Ending::Delivered:
            return "delivered";
        case Ending::AppError:
            return "error";
        case Ending::Shed:
            return "full";
        case Ending::Expired:
            return "expired";
        case Ending::DialFailed:
            return "connect_failed";
        case Ending::Dropped:
            return "reset";
        case Ending::Revoked:
            return "called_off";
        case Ending::Unused:
            return "not_sent";
    }
    return "unknown";
}

const char* name_of(SettledBy who) {
    switch (who) {
        case SettledBy::Server:
            return "server";
        case SettledBy::Module:
            return "module";
        case SettledBy::Deadline:
            return "deadline";
        case SettledBy::ProgramEnd:
            return "program_end";
        case SettledBy::Viewer:
            return "viewer";
    }
    return "unknown";
}

const char* name_of(Settlement how) {
    switch (how) {
        case Settlement::Answered:
            return "answered";
        case Settlement::Refused:
            return "refused";
        case Settlement::Failed:
            return "failed";
        case Settlement::GivenUp:
            return "given_up";
    }
    return "unknown";
}

std::string text(std::uint64_t number) {
    return std::to_string(number);
}

}  // namespace

void RequestLog::taken(const SetUp& set_up) {
    ++counts_.taken;
    if (!log_.wants(Level::Debug)) return;
    log_.debug("request_taken", {{"session", codec::to_hex(set_up.request.id)},
                                 {"class", set_up.class_name},
                                 {"not_after", codec::to_text(set_up.request.not_after)}});
}

void RequestLog::attempt_sent(const Attempt& attempt, std::uint32_t number) {
    ++counts_.attempts;
    counts_.retries += number > 0 ? 1 : 0;
    if (!log_.wants(Level::Debug)) return;
    log_.debug("attempt_sent", {{"session", codec::to_hex(attempt.id)},
                                {"attempt", text(number)},
                                {"server", text(attempt.server)},
                                {"give_up_at", codec::to_text(attempt.give_up_at)}});
}

void RequestLog::attempt_ended(SessionId id, std::uint32_t number, ServerNumber server, Ending how) {
    if (!log_.wants(Level::Debug)) return;
    log_.debug("attempt_ended", {{"session", codec::to_hex(id)},
                                 {"attempt", text(number)},
                                 {"server", text(server)},
                                 {"how", name_of(how)}});
}

void RequestLog::settled(SessionId id, Settlement how, SettledBy who) {
    counts_.answered += how == Settlement::Answered ? 1 : 0;
    counts_.refused += how == Settlement::Refused ? 1 : 0;
    counts_.failed += how == Settlement::Failed ? 1 : 0;
    counts_.given_up += how == Settlement::GivenUp ? 1 : 0;
    counts_.settled_by_deadline += who == SettledBy::Deadline ? 1 : 0;
    counts_.settled_by_program_end += who == SettledBy::ProgramEnd ? 1 : 0;
    if (!log_.wants(Level::Debug)) return;
    log_.debug("request_settled",
               {{"session", codec::to_hex(id)}, {"how", name_of(how)}, {"by", name_of(who)}});
}

void RequestLog::session_over(SessionId id, ServerNumber server, Ending how) {
    if (!log_.wants(Level::Debug)) return;
    log_.debug("session_over",
               {{"session", codec::to_hex(id)}, {"server", text(server)}, {"how", name_of(how)}});
}

void RequestLog::late_answer(SessionId id, ServerNumber server) {
    ++counts_.late_answers;
    if (!log_.wants(Level::Debug)) return;
    log_.debug("late_answer", {{"session", codec::to_hex(id)}, {"server", text(server)}});
}

void RequestLog::report() {
    log_.info("requests", {{"taken", text(counts_.taken)},
                           {"answered", text(counts_.answered)},
                           {"refused", text(counts_.refused)},
                           {"failed", text(counts_.failed)},
                           {"given_up", text(counts_.given_up)},
                           {"attempts", text(counts_.attempts)},
                           {"retries", text(counts_.retries)},
                           {"by_deadline", text(counts_.settled_by_deadline)},
                           {"by_program_end", text(counts_.settled_by_program_end)},
                           {"late_answers", text(counts_.late_answers)}});
}

}  // namespace jasperspread::agent
