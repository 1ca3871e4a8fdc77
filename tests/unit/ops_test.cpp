// The operator file and the log's lines.
#include <doctest/doctest.h>

#include <sstream>

#include "ops/log_sink.h"
#include "ops/operator_file.h"

using namespace jasperspread;

namespace {

std::string wrong(const std::string& yaml) {
    try {
        ops::read_operator(yaml, "op.yaml");
    } catch (const ops::OperatorError& error) {
        return error.what();
    }
    return "";
}

}  // namespace

TEST_CASE("an empty operator file leaves every default, and all is off") {
    const auto settings = ops::read_operator("", "op.yaml");
    CHECK_FALSE(settings.handover.enabled);
    CHECK_FALSE(settings.log.json);
    CHECK_EQ(settings.handover.rest_s, 30);
}

TEST_CASE("what explain-config prints is a file that can be used and gives the defaults") {
    std::ostringstream out;
    ops::explain_operator(out);
    const auto settings = ops::read_operator(out.str(), "op.yaml");
    CHECK_EQ(settings.handover.hold_s, handover::Settings{}.hold_s);
    CHECK_EQ(settings.handover.into_target, handover::Settings{}.into_target);
    CHECK_EQ(settings.log.level, "info");
}

TEST_CASE("a key is taken with its unit's check") {
    const auto settings = ops::read_operator(
        "log:\n  json: true\nhandover:\n  enabled: yes\n  key_file: /keys/a\n  rest_s: 12.5\n", "op.yaml");
    CHECK(settings.log.json);
    CHECK(settings.handover.enabled);
    CHECK_EQ(settings.handover.rest_s, 12.5);
}

TEST_CASE("what is wrong is one line with file, line and key") {
    CHECK_EQ(wrong("log:\n  level: loud\n"),
             "op.yaml:2: log.level: expected a text: debug, err, info, warn; got 'loud'");
    CHECK_EQ(wrong("log:\n  json: perhaps\n"), "op.yaml:2: log.json: expected true or false, got 'perhaps'");
    CHECK_EQ(wrong("\n\nhandover:\n  hold: 3\n"), "op.yaml:4: handover.hold: there is no such key");
    CHECK_EQ(wrong("hand:\n  hold_s: 3\n"), "op.yaml:1: hand: there is no such section");
    CHECK_EQ(wrong("handover:\n  hold_s: 99\n"),
             "op.yaml:2: handover.hold_s: expected a number from 0.1 to 30, got '99'");
    CHECK_EQ(wrong("handover:\n  into_target: 1.5\n"),
             "op.yaml:2: handover.into_target: expected a whole number from 1 to 10000, got '1.5'");
    CHECK_EQ(wrong("handover:\n  hold_s: .nan\n"),
             "op.yaml:2: handover.hold_s: expected a number from 0.1 to 30, got '.nan'");
    CHECK_EQ(wrong("handover:\n  hold_s: 1\n  hold_s: 2\n"),
             "op.yaml:3: handover.hold_s: it stands here twice");
    CHECK_EQ(wrong("handover: 3\n"), "op.yaml:1: handover: expected keys below it");
    CHECK_EQ(wrong("handover:\n  enabled: true\n"),
             "op.yaml:1: handover.key_file: expected a file, as handover.enabled is set");
    CHECK(wrong("log: [1,\n").starts_with("op.yaml:2: the file: not readable as YAML"));
}

TEST_CASE("a line of the log is an event with fields that can be told apart") {
    using agent::Level;
    CHECK_EQ(ops::text_line(1.5, Level::Info, "listening", {{"name", "n1"}, {"why", "it is \"so\""}}),
             "1.500 info listening name=n1 why=\"it is \\\"so\\\"\"");
    CHECK_EQ(ops::text_line(1, Level::Warn, "x", {{"empty", ""}, {"line", "a\nb"}}),
             "1.000 warn x empty=\"\" line=\"a\\nb\"");
    CHECK_EQ(ops::json_line(1.5, Level::Fault, "x", {{"a", "b\xff"}}),
             "{\"time\":1.5,\"level\":\"fault\",\"event\":\"x\",\"a\":\"b\xef\xbf\xbd\"}");
}
