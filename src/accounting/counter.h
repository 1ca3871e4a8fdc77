// How many of each key there are, for questions that would otherwise walk everything that has a key.
#pragma once
#include <map>

namespace cinderfront::accounting {

/// A multiset that keeps counts alone. All calls take logarithmic time in the number of different keys.
template <typename Key>
class Counter {
public:
    void add(const Key& key) { ++counts_[key]; }

    /// Takes one away; a key that isn't there is left alone.
    void remove(const Key& key) {
        const auto it = counts_.find(key);
        if (it != counts_.end() && --it->second == 0) counts_.erase(it);
    }

    int count(const Key& key) const {
        const auto it = counts_.find(key);
        return it == counts_.end() ? 0 : it->second;
    }

private:
    std::map<Key, int> counts_;  // every one above 0
};

}  // namespace cinderfront::accounting
