// Messages of viewers and servers that are not as the protocol page has them: nobody is served by them.
#include <doctest/doctest.h>

#include <string>
#include <string_view>

#include "scenario.h"

using scenario::hex_of;
using scenario::play;

namespace {

// What goes wrong where a server answers a paid set-up with this line: it is to fail, as it may have run, and
// the connection is no further use.
std::string play_unsound_answer(std::string_view line) {
    return play(R"(
        agent send start
        v1 send setup 5 class=paid
        s1 expect START 5
        s1 send raw=)" +
                hex_of(line) + R"(
        v1 expect release 5 cause=41
        s1 expect closed
        v1 send test 1
        v1 expect result 1
    )");
}

std::string play_sound_answer(std::string_view line, std::string_view description) {
    return play(R"(
        agent send start
        v1 send setup 5 class=paid
        s1 expect START 5
        s1 send raw=)" +
                hex_of(line) + "\nv1 expect answer 5 body=hex:" + hex_of(description) + "\n");
}

}  // namespace

// Guards against serving a bad client: a figure that was no number, or out of its range, was passed over.
TEST_CASE("unsound set-up: a figure that is there but can't be used is refused, and no server hears of it") {
    CHECK_EQ(play(R"(
        agent send start
        v1 send setup 1 class=paid hint=-30000
        v1 expect release 1 cause=42
        v1 send setup 2 class=paid viewer=none
        v1 expect release 2 cause=42
        v1 send setup 3 class=paid viewer=
        v1 expect release 3 cause=42
        v1 send setup 4 class=paid again=maybe
        v1 expect release 4 cause=42
        v1 send setup 5 class=paid home=0.5
        v1 expect release 5 cause=42
        v2 send setup 6 class=paid copies=1.5
        v2 expect release 6 cause=42
        v2 send setup 7 class=paid top=0x1
        v2 expect release 7 cause=42
        v2 send setup 8 class=paid hint=-30000 at=s-00000001
        v2 expect release 8 cause=42
        s1 expect nothing 0.2
    )"),
             "");
}

// Guards against a line to a server that is no JSON: servers close on it, with all set-ups that are open
// there.
TEST_CASE("unsound set-up: a description that no line can hold unchanged is refused") {
    CHECK_EQ(play(R"(
        agent send start
        stands 4
        v2 send setup 5 class=paid body=hex:0aff22
        v2 expect release 5 cause=42
        v2 send setup 6 class=paid body=hex:0aeda08022 at=s-00000001
        v2 expect release 6 cause=42
        s1 expect nothing 0.2
        v2 send setup 7 body=hex:0ac3bf22
        s1 expect START 7 blob=hex:0ac3bf22
    )"),
             "");
}

TEST_CASE("sound set-up: figures at the ends of their ranges are served") {
    CHECK_EQ(play(R"(
        agent send start
        v1 send setup 1 hint=0 viewer=B4D65521 again=0 home=0 copies=8 top=0 later=figure
        s1 expect START 1
        s1 send STARTED 1
        v1 expect answer 1
        v1 send setup 2 hint=0.5 again=1 copies=8.0 top=1
        s1 expect START 2
        s1 send STARTED 2
        v1 expect answer 2
    )"),
             "");
}

// Guards against 'served' with what no lesson server made: a STARTED line with noise in its description, no
// JSON any more, was read byte by byte and passed on.
TEST_CASE("unsound line: an answer with noise in its description fails the set-up") {
    const std::string head = R"({"verb":"STARTED","tag":"0000000000000005","opts":{},"blob":")";
    const std::string noise[] = {"m=audio \xf8\x9c\xff\x81 RTP", "\xe9", "\xc0\xaf", "\xed\xa0\x80",
                                 "\x80\x80"};
    for (const std::string& description : noise) {
        CAPTURE(hex_of(description));
        CHECK_EQ(play_unsound_answer(head + description + "\"}"), "");
    }
}

// Guards against the same by noise elsewhere in the line: any line that is no JSON object counts as
// unreadable.
TEST_CASE("unsound line: noise outside of the description makes the whole line unreadable") {
    const std::string line =
        R"({"verb":"STARTED","tag":"0000000000000005","opts":{"load":"x0:1"},"blob":"there"})";
    const auto with = [&](std::string_view old_part, std::string_view new_part) {
        std::string changed = line;
        return changed.replace(changed.find(old_part), old_part.size(), new_part);
    };
    CHECK_EQ(play_unsound_answer(with("x0:1", "x0\xff\xfe")), "");
    CHECK_EQ(play_unsound_answer(with("opts", "op\xf8s")), "");
    CHECK_EQ(play_unsound_answer(line + std::string("\0 noise", 7)), "");
}

// Guards against 'served' with an answer that is not one, as it has no description.
TEST_CASE("unsound line: an answer without a description fails the set-up") {
    CHECK_EQ(play_unsound_answer(R"({"verb":"STARTED","tag":"0000000000000005","opts":{}})"), "");
}

// Guards against taking a line that has lost a part of its id for one on another session.
TEST_CASE("unsound line: an answer whose id has not all its digits fails the set-up") {
    CHECK_EQ(play_unsound_answer(R"({"verb":"STARTED","tag":"5","opts":{},"blob":"there"})"), "");
}

TEST_CASE("sound line: a description in UTF-8 and with escapes is passed on unchanged") {
    CHECK_EQ(play_sound_answer("{\"verb\":\"STARTED\",\"tag\":\"0000000000000005\",\"blob\":\"Citt\xc3\xa0 "
                               "\\u00e9\\r\\n\\u0000\xf0\x9f\x8e\xac\"}\r",
                               std::string_view("Citt\xc3\xa0 \xc3\xa9\r\n\0\xf0\x9f\x8e\xac", 16)),
             "");
}
