// The log as the agent sees it: events with a name and fields. Who writes them, where and in what form, is
// the wiring's business (src/ops). A viewer's description never goes in.
#pragma once

#include <initializer_list>
#include <string>
#include <string_view>

namespace jasperspread::agent {

enum class Level {
    Debug,
    Info,
    Warn,
    Fault
};  // Fault: something that must not happen by this program's own rules

struct Field {
    std::string_view key;
    std::string value;
};

class Log {
public:
    // Whether lines of this level are written at all: asked before one is put together where there are many.
    virtual bool wants(Level level) const { return level != Level::Debug; }
    virtual void write(Level level, std::string_view event, std::initializer_list<Field> fields) = 0;
    void debug(std::string_view event, std::initializer_list<Field> fields = {}) {
        if (wants(Level::Debug)) write(Level::Debug, event, fields);
    }
    void info(std::string_view event, std::initializer_list<Field> fields = {}) {
        write(Level::Info, event, fields);
    }
    void warn(std::string_view event, std::initializer_list<Field> fields = {}) {
        write(Level::Warn, event, fields);
    }
    void fault(std::string_view event, std::initializer_list<Field> fields = {}) {
        write(Level::Fault, event, fields);
    }

protected:
    ~Log() = default;
};

}  // namespace jasperspread::agent
