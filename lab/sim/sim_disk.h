// A disk in virtual time: a batch is on it after a while, or not at all when the power fails before.
#pragma once

#include <map>
#include <string>

#include "lab/sim/network.h"
#include "store/disk.h"

namespace lab {

class SimDisk final : public jasperspread::store::Disk {
public:
    using Fault = jasperspread::store::Fault;
    explicit SimDisk(Host& host) : host_(host) {}

    void takes(double seconds) { takes_s_ = seconds; }  // for a batch, from here on
    void fails(Fault fault) { fault_ = fault; }
    // With the process: what is out has reached the disk, or not; nobody hears of it.
    void power_fails(bool reached) {
        if (reached && fault_ == Fault::None) apply(out_);
        out_.clear();
    }
    std::size_t batches() const { return batches_; }
    bool holds(jasperspread::store::SessionId id) const { return bodies_.contains(id); }
    std::size_t sessions() const { return bodies_.size() - bodies_.count(jasperspread::store::list_place); }

    // In which boot it was last opened, and is now.
    const std::string& boot_before() const { return boot_; }
    void booted(const std::string& boot) { boot_ = boot; }

    jasperspread::store::Found load(const std::string& agent) {
        jasperspread::store::Found found;
        found.before = {agent, lives_++, "one boot"};
        for (const auto& [id, body] : bodies_) {
            if (id == jasperspread::store::list_place)
                found.list = jasperspread::store::decode_list(body).value_or(found.list);
            else if (const auto record = jasperspread::store::decode(id, body))
                found.sessions.push_back(*record);
        }
        return found;
    }

    void commit(std::vector<jasperspread::store::Change> batch, std::function<void(Fault)> done) override {
        out_ = std::move(batch);
        ++batches_;
        // The loop begins anew when the process dies, and with it what waits there.
        auto& loop = host_.loop();
        loop.deadlines().add(loop.now() + takes_s_, [this, done = std::move(done)] {
            if (fault_ == Fault::None) apply(out_);
            out_.clear();
            done(fault_);
        });
    }

private:
    void apply(const std::vector<jasperspread::store::Change>& batch) {
        for (const auto& change : batch) {
            if (change.body)
                bodies_[change.id] = *change.body;
            else
                bodies_.erase(change.id);
        }
    }

    Host& host_;
    double takes_s_ = 0.004;
    Fault fault_ = Fault::None;
    std::vector<jasperspread::store::Change> out_;
    std::map<jasperspread::store::SessionId, std::string> bodies_;
    std::string boot_;
    std::uint64_t lives_ = 0;
    std::size_t batches_ = 0;
};

}  // namespace lab
