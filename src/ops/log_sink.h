// Writes the log to standard error: one line an event, as `TIME LEVEL EVENT key=value ...` or as JSON.
#pragma once

#include <functional>
#include <memory>

#include "agent/log.h"
#include "ops/operator_file.h"

namespace spdlog {
class logger;
}

namespace jasperspread::ops {

class LogSink final : public agent::Log {
public:
    // `now` gives the Unix time of a line, s.
    LogSink(const LogSettings& settings, std::function<double()> now);
    ~LogSink();
    void change(const LogSettings& settings);
    bool wants(agent::Level level) const override;
    void write(agent::Level level, std::string_view event,
               std::initializer_list<agent::Field> fields) override;

private:
    bool json_ = false;
    std::function<double()> now_;
    std::unique_ptr<spdlog::logger> logger_;
};

// A line without its end, as it is written.
std::string text_line(double now, agent::Level level, std::string_view event,
                      std::initializer_list<agent::Field> fields);
std::string json_line(double now, agent::Level level, std::string_view event,
                      std::initializer_list<agent::Field> fields);

}  // namespace jasperspread::ops
