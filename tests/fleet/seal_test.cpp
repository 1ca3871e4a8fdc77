// Seals and messages: what was recorded, changed or made up is turned away.
#include <doctest/doctest.h>

#include <algorithm>
#include <random>
#include <set>

#include "fleet/message.h"
#include "fleet/seal.h"

using namespace jasperspread::fleet;

namespace {

const std::string key_a(64, 'a'), key_b(64, 'b');

Seal seal_of(const Name& name, std::uint64_t token, const std::string& key = key_a) {
    return {Keys(key), name, "127.0.0.1:1", Incarnation{1, token}};
}

Message some_message(std::mt19937_64& random) {
    Message message;
    message.kind = static_cast<Kind>(random() % 11);
    message.number = random();
    message.target = {
        "n" + std::to_string(random() % 300), "10.0.0.1:2910", {random(), random()}, Health::Alive};
    for (std::size_t i = random() % (updates_most + 1); i > 0; --i)
        message.updates.push_back({std::string(random() % name_most, 'x'),
                                   "255.255.255.255:65535",
                                   {random(), random()},
                                   static_cast<Health>(random() % 4)});
    if (message.kind != Kind::StatusQuery && message.kind != Kind::StatusReply) {
        // A message has words or such numbers; a Join tells of its sender alone.
        auto& numbers = message.kind == Kind::Join ? message.digests : message.sessions;
        if (message.updates.size() > 1) return message;
        for (std::size_t i = random() % (sessions_most + 1); i > 0; --i) numbers.push_back(random());
        return message;
    }
    message.updates.clear();
    const auto ms = [&] { return static_cast<double>(random() % 1000000000) / 1000; };
    Status& status = message.status.emplace();
    status = {std::string(random() % (zone_most + 1), 'z'),
              ms(),
              ms(),
              random(),
              random() % 6,
              random() % 2 == 0,
              {}};
    for (std::size_t i = random() % (runs_most + 1); i > 0; --i)
        status.runs.emplace_back(static_cast<std::uint32_t>(random()), ms());
    return message;
}

}  // namespace

TEST_CASE("a sealed message is read by whom it is for, once") {
    Seal from = seal_of("n1", 11), to = seal_of("n2", 22);
    const std::string bytes = from.close(22, "body");
    const auto opened = to.open(bytes);
    CHECK_EQ(opened.fault, SealFault::None);
    CHECK_EQ(opened.from, "n1");
    CHECK_EQ(opened.incarnation, Incarnation{1, 11});
    CHECK_EQ(opened.body, "body");
    CHECK_EQ(to.open(bytes).fault, SealFault::Repeated);
}

TEST_CASE("what was recorded is worth nothing in another life, of either side") {
    Seal from = seal_of("n1", 11), to = seal_of("n2", 22), other = seal_of("n3", 33);
    const std::string bytes = from.close(22, "body");
    CHECK_EQ(other.open(bytes).fault, SealFault::Unknown);
    Seal to_again = seal_of("n2", 23);
    CHECK_EQ(to_again.open(bytes).fault, SealFault::Unknown);
    CHECK_EQ(to.open(bytes).fault, SealFault::None);
    Seal from_again = seal_of("n1", 12);  // the sender's next life
    CHECK_EQ(to.open(from_again.close(22, "body")).fault, SealFault::None);
    CHECK_EQ(to.open(bytes).fault, SealFault::Repeated);
}

TEST_CASE("each counter is taken once, in any order within the window") {
    std::mt19937_64 random(5);
    for (int round = 0; round < 50; ++round) {
        Seal from = seal_of("n1", 11), to = seal_of("n2", 22);
        std::vector<std::string> sent;
        sent.reserve(300);
        for (int i = 0; i < 300; ++i) sent.push_back(from.close(22, std::to_string(i)));
        // Each comes some places early or late, some twice, some never.
        std::vector<std::pair<double, std::size_t>> order;
        for (std::size_t i = 0; i < sent.size(); ++i) {
            const auto place = [&] { return static_cast<double>(i) + static_cast<double>(random() % 30); };
            if (random() % 10 != 0) order.emplace_back(place(), i);
            if (random() % 5 == 0) order.emplace_back(place(), i);
        }
        std::sort(order.begin(), order.end());
        std::set<std::size_t> taken;
        for (const auto& [at, i] : order) {
            const bool fresh = to.open(sent[i]).fault == SealFault::None;
            CHECK_EQ(fresh, taken.insert(i).second);
        }
        // Far behind the window nothing is taken, whether it came or not.
        CHECK_EQ(to.open(sent[0]).fault, SealFault::Repeated);
    }
}

TEST_CASE("a bit that differs, another key, or a part of a datagram is forged") {
    Seal from = seal_of("n1", 11), to = seal_of("n2", 22), stranger = seal_of("n1", 11, key_b);
    const std::string bytes = from.close(22, "body");
    for (std::size_t i = 0; i < bytes.size() * 8; ++i) {
        std::string changed = bytes;
        changed[i / 8] = static_cast<char>(changed[i / 8] ^ (1 << (i % 8)));
        CHECK_EQ(to.open(changed).fault, SealFault::Forged);
    }
    for (std::size_t size = 0; size < bytes.size(); ++size)
        CHECK_EQ(to.open(bytes.substr(0, size)).fault, SealFault::Forged);
    CHECK_EQ(to.open(stranger.close(22, "body")).fault, SealFault::Forged);
    CHECK_EQ(to.open(bytes).fault, SealFault::None);  // none of it has used the counter up
}

TEST_CASE("while a key is changed both are taken") {
    Seal from = seal_of("n1", 11, key_b), to = seal_of("n2", 22, key_a);
    CHECK_EQ(to.open(from.close(22, "x")).fault, SealFault::Forged);
    to.change(Keys(key_a + "\n" + key_b + "\n"));
    CHECK_EQ(to.open(from.close(22, "x")).fault, SealFault::None);
    CHECK_THROWS_AS(Keys("abc"), KeyError);
    CHECK_THROWS_AS(Keys(""), KeyError);
    CHECK_THROWS_AS(Keys(key_a + "\n" + key_a + "\n" + key_a), KeyError);
}

TEST_CASE("messages are read as they were written, fit a datagram, and nothing else is read") {
    std::mt19937_64 random(7);
    Seal seal = seal_of(std::string(name_most, 'n'), ~std::uint64_t{0});
    for (int i = 0; i < 2000; ++i) {
        const Message message = some_message(random);
        const std::string bytes = encode(message);
        CHECK_EQ(decode(bytes), message);
        CHECK_LE(seal.close(~std::uint64_t{0}, bytes).size(), datagram_most);
        std::string changed = bytes.substr(0, random() % bytes.size());
        CHECK_FALSE(decode(changed));
        changed = bytes;
        changed[random() % changed.size()] = static_cast<char>(random());
        if (const auto read = decode(changed)) CHECK_LE(read->updates.size(), updates_most);
    }
}
