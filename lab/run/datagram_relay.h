// Stands in front of one agent and passes on the datagrams that others send it: lost, repeated, late, or cut
// off for one sender.
#pragma once

#include <functional>
#include <map>
#include <random>
#include <set>
#include <string>

#include "lab/sim/network.h"
#include "net/datagrams.h"

namespace lab {

class DatagramRelay {
public:
    DatagramRelay(jasperspread::net::Loop& loop, std::uint64_t seed)
        : loop_(loop),
          random_(seed),
          socket_(
              loop, *jasperspread::net::parse_address("127.0.0.1:0"),
              [this](std::string_view bytes, const jasperspread::net::Address& from) { pass(bytes, from); }) {
    }
    ~DatagramRelay() {
        for (const auto& key : late_) loop_.deadlines().cancel(key);
    }

    jasperspread::net::Address address() const { return socket_.address(); }
    void lead_to(const jasperspread::net::Address& target) { target_ = target; }
    void set_lossy(const Lossy& lossy) { lossy_ = lossy; }
    // What comes from this address is lost.
    void cut(const std::string& from, bool is_cut) {
        if (is_cut)
            cut_.insert(from);
        else
            cut_.erase(from);
    }
    // What comes from senders of which this is true is lost, too.
    void cut_where(std::function<bool(const jasperspread::net::Address&)> is_cut) {
        is_cut_ = std::move(is_cut);
    }
    // Called with each datagram that comes from a sender that is not cut.
    void observe(std::function<void(const jasperspread::net::Address& from, std::string_view bytes)> seen) {
        seen_ = std::move(seen);
    }

private:
    void pass(std::string_view bytes, const jasperspread::net::Address& from) {
        if (!cut_.empty() && cut_.contains(jasperspread::net::to_text(from))) return;
        if (is_cut_ && is_cut_(from)) return;
        if (seen_) seen_(from, bytes);
        const int copies = uniform() < lossy_.repeated ? 2 : 1;
        for (int copy = 0; copy < copies; ++copy) {
            if (uniform() < lossy_.lost) continue;
            if (uniform() >= lossy_.late) {
                socket_.send(bytes, target_);
                continue;
            }
            auto key = std::make_shared<jasperspread::net::Deadlines::Key>();
            *key = loop_.deadlines().add(loop_.now() + lossy_.late_s * uniform(),
                                         [this, key, text = std::string(bytes)] {
                                             late_.erase(*key);
                                             socket_.send(text, target_);
                                         });
            late_.insert(*key);
        }
    }
    double uniform() { return static_cast<double>(random_() >> 11) * 0x1p-53; }

    jasperspread::net::Loop& loop_;
    std::mt19937_64 random_;
    jasperspread::net::Address target_;
    Lossy lossy_;
    std::set<std::string> cut_;
    std::function<bool(const jasperspread::net::Address&)> is_cut_;
    std::function<void(const jasperspread::net::Address&, std::string_view)> seen_;
    std::set<jasperspread::net::Deadlines::Key> late_;
    jasperspread::net::Datagrams socket_;
};

}  // namespace lab
