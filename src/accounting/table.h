// Values by their ids, to be looked up and never walked.
#pragma once
#include <cstddef>
#include <cstdint>
#include <map>

namespace cinderfront::accounting {

/// A map that offers no iteration, so that what is done at each event can't grow with what it holds but by
/// the logarithm of a look-up. Values stay where they are until they are erased.
template <typename Value>
class Table {
public:
    /// The value of this id, null where there is none.
    Value* find(std::uint64_t id) {
        ++lookups_;
        const auto it = values_.find(id);
        return it == values_.end() ? nullptr : &it->second;
    }
    /// The value of an id that is there.
    Value& at(std::uint64_t id) {
        ++lookups_;
        return values_.at(id);
    }
    /// The value of this id, a new one where there was none.
    Value& add(std::uint64_t id) { return values_[id]; }
    void erase(std::uint64_t id) { values_.erase(id); }

    std::size_t size() const { return values_.size(); }
    /// Values looked up so far, by which tests tell what an event costs.
    std::uint64_t lookups() const { return lookups_; }

private:
    std::map<std::uint64_t, Value> values_;
    std::uint64_t lookups_ = 0;
};

}  // namespace cinderfront::accounting
