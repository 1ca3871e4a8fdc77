// What a peer sent can't be read.
#pragma once

#include <stdexcept>
#include <string>

namespace jasperspread::codec {

class CodecError : public std::runtime_error {
public:
    enum class Kind { Malformed, Oversized };
    CodecError(Kind kind, const std::string& what) : std::runtime_error(what), kind_(kind) {}
    Kind kind() const { return kind_; }

private:
    Kind kind_;
};

[[noreturn]] inline void malformed(const std::string& what) {
    throw CodecError(CodecError::Kind::Malformed, what);
}
[[noreturn]] inline void oversized(const std::string& what) {
    throw CodecError(CodecError::Kind::Oversized, what);
}

}  // namespace jasperspread::codec
