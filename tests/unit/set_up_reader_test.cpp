// Which set-ups are sound: by their figures, one at a time.
#include "agent/set_up_reader.h"

#include <doctest/doctest.h>

#include <functional>

#include "codec/error.h"

using jasperspread::agent::Profile;
using jasperspread::agent::read_set_up;
using jasperspread::agent::SetUp;
using jasperspread::codec::CodecError;
using jasperspread::codec::ViewerMessage;

namespace {

constexpr double now = 1000;

Profile profile() {
    Profile profile;
    profile.class_names = {"paid", "free_of_charge"};
    profile.settings.classes.resize(2);
    for (auto& cls : profile.settings.classes) cls.deadline = 5;
    profile.tenant_names = {"acme", "penn-radio"};
    profile.settings.cells = 4;
    profile.settings.ladder_kb = {197, 294, 440};
    return profile;
}

ViewerMessage sound_message() {
    ViewerMessage message;
    message.session = 7;
    message.class_name = "paid";
    message.title = "7f3a9c21e0b4d655";
    message.wait_ms = 1500;
    message.hint_ms = 8200;
    message.figures = {{"home", "3"}, {"copies", "4"}, {"top", "2"}, {"viewer", "00000000b4d65521"}};
    return message;
}

using Change = std::function<void(ViewerMessage&)>;

SetUp read_changed(const Change& change, const Profile& settings = profile()) {
    ViewerMessage message = sound_message();
    change(message);
    return read_set_up(message, settings, now);
}

struct Figure {
    const char* name;
    const char* value;
};

void set_figure(ViewerMessage& message, const Figure& figure) {
    message.figures[figure.name] = figure.value;
}

}  // namespace

TEST_CASE("set-up reader: a sound set-up is read whole") {
    const SetUp set_up = read_changed([](ViewerMessage& message) {
        message.tenant = "penn-radio";
        set_figure(message, {"again", "1"});
    });
    CHECK_EQ(set_up.request.cls, 0);
    CHECK_EQ(set_up.request.tenant, 1);
    CHECK_EQ(set_up.request.not_after, doctest::Approx(now + 1.5));
    CHECK_EQ(set_up.request.hint, 8.2);
    CHECK_EQ(set_up.request.key, 0xb4d65521);
    CHECK_EQ(set_up.request.start_cell, 3);
    CHECK_EQ(set_up.request.holders, 4);
    CHECK_EQ(set_up.request.ceiling, 2);
    CHECK(set_up.request.repeat);
}

TEST_CASE("set-up reader: what a set-up need not have may be missing") {
    const SetUp set_up = read_changed([](ViewerMessage& message) {
        message.wait_ms.reset();
        message.hint_ms.reset();
        message.figures.erase("viewer");
    });
    CHECK_EQ(set_up.request.not_after, now + 5);
    CHECK_FALSE(set_up.request.hint);
    CHECK_FALSE(set_up.request.key);
    CHECK_FALSE(set_up.request.tenant);
    CHECK_FALSE(set_up.request.repeat);
}

// Guards against serving a bad client: a figure that was no number, or out of its range, was passed over.
TEST_CASE("set-up reader: one unsound figure makes the set-up unsound") {
    const Change changes[] = {
        [](ViewerMessage& message) { message.hint_ms = -30000; },
        [](ViewerMessage& message) { message.wait_ms = 0; },
        [](ViewerMessage& message) { message.class_name = "unheard"; },
        [](ViewerMessage& message) { message.tenant = "unheard"; },
        [](ViewerMessage& message) { message.title = "a title"; },
        [](ViewerMessage& message) { message.description = "\xff"; },
    };
    for (const Change& change : changes) CHECK_THROWS_AS(read_changed(change), CodecError);
    const Figure figures[] = {
        {"viewer", "none"}, {"viewer", ""},       {"viewer", "-1"}, {"viewer", "11112222333344445"},
        {"home", "4"},      {"home", "-1"},       {"home", "0.5"},  {"home", "nan"},
        {"copies", "0"},    {"copies", "5"},      {"copies", ""},   {"copies", "1e99"},
        {"top", "3"},       {"top", "inf"},       {"top", "1 "},    {"again", "2"},
        {"again", ""},      {"again", "perhaps"},
    };
    for (const Figure& figure : figures) {
        CAPTURE(figure.name);
        CAPTURE(figure.value);
        CHECK_THROWS_AS(read_changed([&](ViewerMessage& message) { set_figure(message, figure); }),
                        CodecError);
    }
}

TEST_CASE("set-up reader: a tenant means nothing where the settings name none") {
    Profile settings = profile();
    settings.tenant_names.clear();
    const SetUp set_up = read_changed([](ViewerMessage& message) { message.tenant = "acme"; }, settings);
    CHECK_FALSE(set_up.request.tenant);
}
