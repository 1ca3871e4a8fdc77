#include "lab/scale/datagram_kind.h"

#include <cstdint>

namespace lab {
namespace {

using jasperspread::fleet::Kind;

// The heads of CBOR (RFC 8949): three bits of type, five that hold the value or tell how many bytes do.
enum class Type : unsigned { Unsigned = 0, Bytes = 2, Text = 3, Array = 4 };

class Reader {
public:
    explicit Reader(std::string_view bytes) : bytes_(bytes) {}

    // The value of a head of this type; nullopt where there is none.
    std::optional<std::uint64_t> head(Type type) {
        constexpr unsigned value_bits = 5, value_mask = 31, in_place_most = 23, longest = 27;
        const auto first = byte();
        if (!first || *first >> value_bits != static_cast<unsigned>(type)) return std::nullopt;
        const unsigned held = *first & value_mask;
        if (held <= in_place_most) return held;
        if (held > longest) return std::nullopt;
        std::uint64_t value = 0;
        for (unsigned left = 1U << (held - in_place_most - 1); left > 0; --left) {
            const auto next = byte();
            if (!next) return std::nullopt;
            value = value << 8 | *next;
        }
        return value;
    }
    bool skip_text() {
        const auto length = head(Type::Text);
        if (!length || *length > bytes_.size()) return false;
        bytes_.remove_prefix(*length);
        return true;
    }

private:
    std::optional<unsigned> byte() {
        if (bytes_.empty()) return std::nullopt;
        const auto value = static_cast<unsigned char>(bytes_.front());
        bytes_.remove_prefix(1);
        return value;
    }
    std::string_view bytes_;
};

}  // namespace

// As fleet::Seal closes it: [sender, its address, its incarnation, its token, the receiver's token, counter,
// body], and the body as fleet::encode writes it: [version, kind, ...].
std::optional<Kind> kind_of(std::string_view datagram) {
    Reader reader(datagram);
    constexpr int numbers = 4;
    if (!reader.head(Type::Array) || !reader.skip_text() || !reader.skip_text()) return std::nullopt;
    for (int i = 0; i < numbers; ++i) {
        if (!reader.head(Type::Unsigned)) return std::nullopt;
    }
    if (!reader.head(Type::Bytes) || !reader.head(Type::Array) || !reader.head(Type::Unsigned))
        return std::nullopt;
    const auto kind = reader.head(Type::Unsigned);
    if (!kind || *kind > static_cast<std::uint64_t>(Kind::StatusReply)) return std::nullopt;
    return static_cast<Kind>(*kind);
}

}  // namespace lab
