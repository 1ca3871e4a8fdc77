// How long a lesson server, or one connection to it, may say nothing while sessions stand there. What has
// ended there must be told within 8 s, and a server that can't be heard tells nothing: before that its
// connections are replaced, as it sends its releases on the next one that is opened, and in the end its
// sessions are over. Decides only; all times in seconds.
#pragma once

namespace jasperspread::agent {

// What of it the settings tell.
struct SilenceSettings {
    double note_every = 0, note_late = 0;  // of a server with sessions; 0: it sends no notes
    double conn_idle = 0;                  // after which a server forgets an idle connection; 0: never
    bool can_probe = false;
};

struct SilenceLimits {
    double probe_after = 0;     // the server is asked for a sign of life
    double probe_answer = 0;    // an answer to that may take so long
    double replace_after = 0;   // a connection is replaced
    double idle_after = 0;      // a connection without traffic either way is replaced
    double vanished_after = 0;  // connects that time out count: the machine has vanished
    // A further connection is opened so long after the last one came up, drawn between the two, whatever is
    // heard: a release that could not be sent waits at the server for the next one.
    double renew_least = 0, renew_most = 0;
    double over_after = 0;  // the server's sessions are over, whether or not new connections come up
    // Whether that silence alone shows that it is not as it should be; else an unanswered probe is needed.
    bool notes_are_due = false;
    bool can_probe = false;
};

SilenceLimits silence_limits(const SilenceSettings& settings);

}  // namespace jasperspread::agent
