#include "log_sink.h"

#include <spdlog/logger.h>
#include <spdlog/sinks/stdout_sinks.h>

#include <nlohmann/json.hpp>

namespace jasperspread::ops {
namespace {

using agent::Field;
using agent::Level;

constexpr const char* name_of(Level level) {
    switch (level) {
        case Level::Debug:
            return "debug";
        case Level::Info:
            return "info";
        case Level::Warn:
            return "warn";
        default:
            return "fault";
    }
}

spdlog::level::level_enum to_spdlog(Level level) {
    switch (level) {
        case Level::Debug:
            return spdlog::level::debug;
        case Level::Info:
            return spdlog::level::info;
        case Level::Warn:
            return spdlog::level::warn;
        default:
            return spdlog::level::err;
    }
}

// As it stands where nothing in it could be taken for the end of the value; else quoted as JSON quotes.
std::string shown(const std::string& value) {
    const bool plain = !value.empty() && value.find_first_of(" \"=\\") == std::string::npos &&
                       std::none_of(value.begin(), value.end(), [](unsigned char c) { return c < 0x20; });
    if (plain) return value;
    return nlohmann::json(value).dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

}  // namespace

std::string text_line(double now, Level level, std::string_view event, std::initializer_list<Field> fields) {
    std::string line = fmt::format("{:.3f} {} {}", now, name_of(level), event);
    for (const Field& field : fields) line += fmt::format(" {}={}", field.key, shown(field.value));
    return line;
}

std::string json_line(double now, Level level, std::string_view event, std::initializer_list<Field> fields) {
    nlohmann::ordered_json line = {{"time", now}, {"level", name_of(level)}, {"event", std::string(event)}};
    for (const Field& field : fields) line[std::string(field.key)] = field.value;
    return line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

LogSink::LogSink(const LogSettings& settings, std::function<double()> now) : now_(std::move(now)) {
    auto sink = std::make_shared<spdlog::sinks::stderr_sink_st>();
    logger_ = std::make_unique<spdlog::logger>("jasperspread", std::move(sink));
    logger_->set_pattern("%v");
    change(settings);
}

LogSink::~LogSink() = default;

void LogSink::change(const LogSettings& settings) {
    json_ = settings.json;
    logger_->set_level(spdlog::level::from_str(settings.level));
}

bool LogSink::wants(Level level) const {
    return logger_->should_log(to_spdlog(level));
}

void LogSink::write(Level level, std::string_view event, std::initializer_list<Field> fields) {
    const auto as = to_spdlog(level);
    if (!logger_->should_log(as)) return;
    logger_->log(as,
                 json_ ? json_line(now_(), level, event, fields) : text_line(now_(), level, event, fields));
}

}  // namespace jasperspread::ops
