// A front that links the library: told of one server, it places one session there.
#include <cinderfront/controller.h>

#include <cstdio>

int main() {
    cinderfront::Settings settings;
    settings.fronts = 1;
    settings.cells = 1;
    settings.racks = 1;
    settings.weight_kb = settings.rack_link_kb = settings.all_links_kb = 10'000;
    settings.ladder_kb = {200, 500};
    settings.worth_by_rung = {0.3, 1};
    cinderfront::ClassSettings lessons;
    lessons.aim = 1;
    lessons.deadline = 4;
    lessons.points = lessons.scale = 1;
    lessons.top = 1;
    settings.classes = {lessons};

    cinderfront::Controller front(settings, 42);
    std::vector<cinderfront::Action> actions;
    cinderfront::ServerEntry server;
    server.server = 7;
    server.size = 1;
    front.handle(100.0, cinderfront::ServerList{cinderfront::ListKind::Restored, {server}}, actions);

    cinderfront::Request request;
    request.id = 1;
    request.holders = 1;
    request.ceiling = 1;
    request.not_after = 104.0;
    front.handle(100.5, cinderfront::NewRequest{request}, actions);

    int rung = -1;
    for (const auto& action : actions) {
        if (const auto* set = std::get_if<cinderfront::SetRung>(&action)) rung = set->rung;
        if (const auto* send = std::get_if<cinderfront::Send>(&action)) {
            std::printf("send to server %u at rung %d\n", send->server, rung);
        }
    }
    return 0;
}
