// A party whose words are lines of text, over connections in either direction.
#pragma once

#include <functional>
#include <string_view>

#include "lab/model/party.h"

namespace lab {

class LineParty final : public Party {
public:
    using Heard = std::function<void(std::uint64_t connection, std::string_view line)>;
    using Left = std::function<void(std::uint64_t connection)>;
    LineParty(jasperspread::net::Loop& loop, Heard heard, Left left = {})
        : Party(loop), heard_(std::move(heard)), left_(std::move(left)) {}

    std::uint64_t call(const jasperspread::net::Address& to, double timeout_s) {
        return connect(to, timeout_s);
    }
    void say(std::uint64_t number, std::string_view text) {
        if (Connection* to = connection(number)) to->send(text);
    }

private:
    void opened(Connection&) override {}
    void left(std::uint64_t number, Connection::End) override {
        if (left_) left_(number);
    }
    std::size_t heard(std::uint64_t number, std::string_view bytes) override {
        std::size_t taken = 0;
        for (std::size_t end = 0; (end = bytes.find('\n', taken)) != std::string_view::npos; taken = end + 1)
            heard_(number, bytes.substr(taken, end - taken));
        return taken;
    }

    const Heard heard_;
    const Left left_;
};

}  // namespace lab
