#include <doctest/doctest.h>

#include "handover/ticket.h"

using namespace jasperspread::handover;

TEST_CASE("a ticket is read back by either key, and by no other") {
    const std::string one(64, '1'), two(64, '2');
    const Ticket ticket{7, 9, "s-00000001", "s-00000002", 5000};
    const TicketKeys old_keys(one + "\n"), both(two + "\n" + one + "\n"), other(two + "\n");
    const std::string text = old_keys.sign(ticket);
    CHECK(both.read(text, 4.9).ticket == ticket);
    CHECK_EQ(static_cast<int>(other.read(text, 4.9).fault), static_cast<int>(TicketFault::Forged));
    CHECK_EQ(static_cast<int>(both.read(text, 5.1).fault), static_cast<int>(TicketFault::Expired));
}

TEST_CASE("a ticket with any byte changed is turned away") {
    const TicketKeys keys(std::string(64, '1'));
    const std::string text = keys.sign({7, 9, "s-00000001", "s-00000002", 5000});
    for (std::size_t i = 0; i < text.size(); ++i) {
        std::string changed = text;
        changed[i] = static_cast<char>(changed[i] ^ 1);
        INFO(i);
        CHECK(keys.read(changed, 1).fault != TicketFault::None);
    }
    for (std::size_t i = 0; i < text.size(); ++i)
        CHECK(keys.read(text.substr(0, i), 1).fault != TicketFault::None);
}

TEST_CASE("a key that can't be used is named without showing it") {
    for (const std::string& bad :
         {std::string(), std::string(63, 'a'), std::string(64, 'g'), std::string("secret")}) {
        try {
            TicketKeys keys(bad);
            FAIL("taken");
        } catch (const KeyError& error) {
            CHECK(std::string(error.what()).find("secret") == std::string::npos);
        }
    }
}
