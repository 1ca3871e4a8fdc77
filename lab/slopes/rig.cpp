#include "rig.h"

#include <sys/resource.h>

#include <fstream>
#include <nlohmann/json.hpp>
#include <stdexcept>

#include "lab/slopes/process_cost.h"

namespace lab {

namespace {

jasperspread::net::Address loopback() {
    return *jasperspread::net::parse_address("127.0.0.1:0");
}

void take_all_descriptors() {
    rlimit limit{};
    if (::getrlimit(RLIMIT_NOFILE, &limit) != 0) return;
    limit.rlim_cur = limit.rlim_max;
    ::setrlimit(RLIMIT_NOFILE, &limit);
}

// The viewers' process inherits the limit: it is raised before that is forked.
const RigOptions& with_all_descriptors(const RigOptions& options) {
    take_all_descriptors();
    return options;
}

}  // namespace

AgentRig::AgentRig(const RigOptions& options)
    : options_(with_all_descriptors(options)),
      plan_(roomy_plan(options.servers)),
      feed_(loop_),
      server_(loop_),
      process_(options.folder + "/log") {
    viewers_.attach(loop_);
    const auto server_at = server_.listen(loopback());
    const auto nobody = *jasperspread::net::parse_address("127.0.0.2:9");
    for (int server = 0; server < options.servers; ++server) {
        const bool there = server == 0 || options.all_there;
        const auto at = server > 0 && there ? server_.listen(loopback()) : server_at;
        members_.push_back({server, there ? at : nobody, "up", 0});
    }
    start();
}

AgentRig::~AgentRig() {
    viewers_.detach();
    process_.kill();
}

void AgentRig::start() {
    const std::string config = options_.folder + "/config.json";
    std::ofstream(config) << roomy_config(plan_, loopback(), feed_.listen(loopback()), members_).dump();
    if (options_.counted) {
        const std::string counts = options_.folder + "/counts";
        counts_ = std::make_unique<SharedCounts>(counts);
        process_.start("/proc/self/exe", {"counted-agent", config, counts});
    } else if (options_.operator_file.empty()) {
        process_.start(options_.program, {config});
    } else {
        process_.start(options_.program, {config, "--operator", options_.operator_file});
    }
    constexpr double starts_within_s = 20;
    if (!run_until([this] { return process_.listens().has_value(); }, starts_within_s))
        throw std::runtime_error("the agent did not come up: see " + options_.folder);
    agent_ = *process_.listens();
}

void AgentRig::run_for(double seconds) {
    const double until = now() + seconds;
    while (now() < until) loop_.turn(until - now());
}

bool AgentRig::run_until(const std::function<bool()>& done, double longest_s) {
    const double until = now() + longest_s;
    while (!done()) {
        if (now() >= until || !process_.runs()) return false;
        loop_.turn(0.02);
    }
    return true;
}

ViewerReport AgentRig::viewers(ViewerOrder order, double longest_s) {
    order.ip = agent_.in.sin_addr.s_addr;
    order.port = agent_.in.sin_port;
    viewers_.order(order);
    if (!run_until([this] { return viewers_.is_done(); }, longest_s))
        throw std::runtime_error("what the viewers were to do is not done after " +
                                 std::to_string(longest_s) + " s");
    connections_ = viewers_.report().connections;
    return viewers_.report();
}

void AgentRig::connect_to(std::uint32_t connections) {
    if (connections <= connections_) return;
    ViewerOrder order;
    order.what = ViewerOrder::What::Connect;
    order.count = connections - connections_;
    viewers(order);
}

void AgentRig::settle() {
    constexpr double slice_s = 0.03, quiet_s = 50e-6;
    for (int look = 0; look < 200; ++look) {
        const double before = processor_s();
        run_for(slice_s);
        if (processor_s() - before < quiet_s) return;
    }
}

double AgentRig::processor_s() const {
    return processor_time_s(process_.id());
}

std::size_t AgentRig::resident() const {
    return resident_bytes(process_.id());
}

KernelCounts::Values AgentRig::counts() const {
    return counts_ ? counts_->counts().values() : KernelCounts::Values{};
}

double AgentRig::idle_share(double seconds) {
    const double began = now(), before = processor_s();
    run_for(seconds);
    return (processor_s() - before) / (now() - began);
}

}  // namespace lab
