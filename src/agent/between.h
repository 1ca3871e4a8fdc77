// What may stand between the parts of an agent. Nothing does in service; the laboratory puts broken parts
// there, to show that its judge sees them.
#pragma once

#include "agent/config.h"
#include "agent/seam.h"
#include "net/loop.h"
#include "store/disk.h"

namespace jasperspread::agent {

class Between {
public:
    virtual ~Between() = default;
    virtual void starts(net::Loop&, Config&) {}     // before all others, once
    virtual void heard(ListChange&) {}              // of the feed
    virtual void remembers(const store::Found&) {}  // where it remembers, after starts()
    virtual ViewerPort& to_viewers(ViewerPort& own) { return own; }
    virtual ServerPort& to_servers(ServerPort& own) { return own; }
    virtual ViewerEvents& from_viewers(ViewerEvents& own) { return own; }
    virtual ServerEvents& from_servers(ServerEvents& own) { return own; }
};

}  // namespace jasperspread::agent
