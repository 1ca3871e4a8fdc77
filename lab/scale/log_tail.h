// Follows the log of a process as it grows, line by line.
#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace lab {

struct LogLine {
    double at = 0;      // Unix time, s
    std::string event;  // its name
    std::string fields;

    // The value of this field; empty where there is none.
    std::string value(std::string_view key) const;
};

class LogTail {
public:
    explicit LogTail(std::string path) : path_(std::move(path)) {}
    // Whole lines that have come since; lines of another form are passed over.
    std::vector<LogLine> take();

private:
    const std::string path_;
    std::size_t read_ = 0;
    std::string rest_;  // of a line that is not whole yet
};

}  // namespace lab
