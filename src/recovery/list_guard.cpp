#include "list_guard.h"

#include <algorithm>

namespace jasperspread::recovery {

bool ListGuard::heard(const KnownList& told, double now) {
    told_ = std::max(told_, told.revision);
    // A feed that numbers its lists anew is believed after a while, and remembered then.
    if (told.revision == 0 || behind(now) || told == remembered_) return false;
    remembered_ = told;
    trust_ = Trust::Hint;
    return true;
}

bool ListGuard::behind(double now) const {
    return told_ > 0 && told_ < remembered_.revision && trust_ != Trust::Void && now < believed_from_;
}

bool ListGuard::may_take_new(const std::string& id, bool called_up, double now) const {
    ListWords words;
    words.remembered_revision = remembered_.revision;
    words.feed_revision = told_;
    words.feed_up = called_up;
    words.remembered_up = remembered_.up.contains(id);
    words.waited = !behind(now);
    return recovery::may_take_new(trust_, words);
}

}  // namespace jasperspread::recovery
