// The library's front door: gives events to the decisions with their time. Decides nothing.
#include <cinderfront/controller.h>

#include "policy/brain.h"

namespace cinderfront {

struct Controller::Impl {
    Brain brain;
};

Controller::Controller(const Settings& settings, std::uint64_t seed)
    : impl_(new Impl{Brain(settings, seed)}) {}
Controller::~Controller() = default;
Controller::Controller(Controller&&) noexcept = default;
Controller& Controller::operator=(Controller&&) noexcept = default;

void Controller::handle(double now, const Event& event, std::vector<Action>& out) {
    impl_->brain.handle(now, event, out);
}

}  // namespace cinderfront
