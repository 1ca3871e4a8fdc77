#include "lab/scale/log_tail.h"

#include <fstream>
#include <iterator>
#include <sstream>

namespace lab {

std::string LogLine::value(std::string_view key) const {
    std::istringstream words(fields);
    const std::string mark = std::string(key) + "=";
    for (std::string word; words >> word;) {
        if (word.starts_with(mark)) return word.substr(mark.size());
    }
    return "";
}

std::vector<LogLine> LogTail::take() {
    std::ifstream in(path_, std::ios::binary);
    in.seekg(static_cast<std::streamoff>(read_));
    const std::string fresh{std::istreambuf_iterator<char>(in), std::istreambuf_iterator<char>()};
    read_ += fresh.size();
    rest_ += fresh;
    std::vector<LogLine> lines;
    std::size_t taken = 0;
    for (std::size_t end = 0; (end = rest_.find('\n', taken)) != std::string::npos; taken = end + 1) {
        std::istringstream line(rest_.substr(taken, end - taken));
        LogLine read;
        std::string level;
        if (!(line >> read.at >> level >> read.event)) continue;
        std::getline(line, read.fields);
        lines.push_back(std::move(read));
    }
    rest_.erase(0, taken);
    return lines;
}

}  // namespace lab
