// The wire: what is well formed is decoded, what is not is named plainly.
#include <gtest/gtest.h>

#include <sstream>

#include "../simhost/host.h"

namespace cinderfront::wire {
namespace {

const std::string hello =
    "HELLO front_3 5 areas=dc1 balancers=2 classes.count=1 classes.0.name=coaching classes.0.aim=1.0 "
    "classes.0.deadline=4.0 classes.0.points=3.0 classes.0.semantics=read_like family_info.places=2 "
    "family_info.shelves=1 family_info.ladder_kb=100.0,200.0 family_info.worth_by_rung=0.5,1.0 "
    "family_info.scale_by_class=1.0 family_info.floor_by_class=0 family_info.top_by_class=1 "
    "family_info.weight_kb=1000.0 family_info.rack_link_kb=2000.0 kinds=std limits.try_limit=3 round=0.01 "
    "tenants.count=1 tenants.0.name=harbor tenants.0.quota_rps=1.5 zone=dc1 something.new=7\n";
const std::string list = "INVENTORY 0 1\nM 51 dc1 std 0 U 1 -\nENDPOINTS front_3 restored 41 0\n";

std::string play(const std::string& input) {
    std::istringstream in(input);
    std::ostringstream out;
    Host().run(in, out);
    return out.str();
}

std::string complaint(const std::string& lines) {
    try {
        play("MARK 1.0 1\n" + hello + list + lines + "EOB\n");
    } catch (const WireError& e) {
        return e.what();
    }
    return "";
}

TEST(Wire, EmptyBatchAndEndOfInput) {
    EXPECT_EQ(play("MARK 8.41225 1\nEOB\n"), "OK 1\n");
    EXPECT_EQ(play(""), "");
}

TEST(Wire, AQueryIsSent) {
    const std::string reply =
        play("MARK 1.0 9\n" + hello + list +
             "QUERY front_3 1ee25a245d3a91c4 coaching harbor 91f03b7c55d20a64 2b8e6401d9f37c10 "
             "5.0 0.012 0 2 1 1\nEOB\n");
    EXPECT_NE(reply.find("QUALITY front_3 1ee25a245d3a91c4 1\nSUBMIT_TO front_3 1ee25a245d3a91c4 51 "),
              std::string::npos);
    EXPECT_NE(reply.find("OK 9\n"), std::string::npos);
}

TEST(Wire, EveryEventIsRead) {
    const std::string id = "e1f7bd930e6f2b19";
    EXPECT_EQ(complaint("TAKEN_OVER front_3 " + id +
                        " harbor 1 8.6 2 0.01 91f03b7c55d20a64 0 1 coaching "
                        "2b8e6401d9f37c10 51\nSIGNAL front_3 " +
                        id + " 2 0 51 1\nSIGNAL front_3 " + id + " 1 0 51 0.5\nSIGNAL front_3 " + id +
                        " 4 0 51 0.5\nREPLY front_3 " + id +
                        " 0 51 delivered 0.01 1 busy_reqs:7,cpu_share:0.4\nFIRST front_3 " + id +
                        " 51 0 0.1\nABANDONED front_3 " + id +
                        "\nBELL front_3 9223372036854775808\n"
                        "CHECK_RESULT front_3 51 delivered 0.0014 -\nINBOX front_3 2 aGkgNw==\n"
                        "ENDPOINTS front_3 unavailable 41 0\n"),
              "");
}

TEST(Wire, RestartInOneBatchDropsTheDeadLife) {
    const std::string reply = play("MARK 1.0 1\n" + hello + list +
                                   "QUERY front_3 1ee25a245d3a91c4 coaching harbor - - 5.0 - 0 2 1 0\n"
                                   "POWER_OFF front_3\n" +
                                   hello + list + "EOB\n");
    EXPECT_EQ(reply.find("SUBMIT_TO"), std::string::npos);
    EXPECT_NE(reply.find("OK 1\n"), std::string::npos);
}

TEST(Wire, MalformedInputIsNamed) {
    const auto says = [](const std::string& lines, const std::string& part) {
        const std::string text = complaint(lines);
        EXPECT_NE(text.find(part), std::string::npos) << lines << " -> " << text;
        EXPECT_NE(text.find("line "), std::string::npos) << text;
    };
    says("WHAT front_3 1\n", "message name");
    says("BELL front_3\n", "ctx");
    says("BELL front_3 1 2\n", "end of the line");
    says("BELL front_3 -1\n", "ctx");
    says("BELL front_9 1\n", "running instance");
    says("BELL back_3 1\n", "front_id");
    says("ABANDONED front_3 12\n", "16 hex digits");
    says("ENDPOINTS front_3 update 42 7\n", "list sent before");
    says("ENDPOINTS front_3 update 42 16\n", "table");
    says("INBOX front_3 1 a\n", "base64");
    says("INBOX front_3 1 aGk*\n", "base64");
    says("INVENTORY 1 2\nM 51 dc1 std 0 U 1 -\n", "M lines");
    says("M 51 dc1 std 0 U 1 -\n", "outside a list");
    says("SIGNAL front_3 e1f7bd930e6f2b19 5 0 51 0.5\n", "note kind");
    says("SIGNAL front_3 e1f7bd930e6f2b19 1 0 51 nan\n", "finite");
    says("SIGNAL front_3 e1f7bd930e6f2b19 1 0 4294967296 0.5\n", "server");
    says("REPLY front_3 e1f7bd930e6f2b19 0 51 fine 0.01 1 -\n", "outcome code");
    says("REPLY front_3 e1f7bd930e6f2b19 0 51 delivered 0.01 yes -\n", "last");
    says(hello, "new instance");
    EXPECT_THROW(play("MARK 1.0 1\nBELL"), WireError);
    EXPECT_THROW(play("MARK 1.0 1\n"), WireError);
    EXPECT_THROW(play("MARK x 1\nEOB\n"), WireError);
    EXPECT_THROW(play("EOB\n"), WireError);
}

TEST(Wire, Base64GoesBothWays) {
    for (const std::string text : {"", "a", "ab", "abc", "abcd"}) {
        EXPECT_EQ(decode_base64(encode_base64(text)), text);
    }
    EXPECT_EQ(encode_base64("hi 7"), "aGkgNw==");
}

TEST(Wire, TwoInstancesInOneProcessActAsInTwo) {
    const auto named = [](std::string text, const std::string& name) {
        for (std::size_t at = 0; (at = text.find("front_3", at)) != std::string::npos;)
            text.replace(at, 7, name);
        return text;
    };
    const std::string day = hello + list +
                            "QUERY front_3 1ee25a245d3a91c4 coaching harbor - - 5.0 - 0 2 1 0\n"
                            "QUERY front_3 1ee25a245d3a91c5 coaching harbor - - 5.0 - 0 2 1 0\n";
    const std::string one = named(day, "front_1"), two = named(day, "front_2");
    const std::string both = play("MARK 1.0 1\n" + one + two + "EOB\n");
    const std::string a = play("MARK 1.0 1\n" + one + "EOB\n"), b = play("MARK 1.0 1\n" + two + "EOB\n");
    EXPECT_EQ(both, a.substr(0, a.find("OK 1")) + b);
}

}  // namespace
}  // namespace cinderfront::wire
