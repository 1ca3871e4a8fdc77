// One small language for tests. Each line names a party, what it does, and with what; # begins a comment.
//
//   agent send start [key=value ...]     writes a configuration (limits.sockets, feed=off, drop=FIELD, ...)
//   and
//                                        starts the program
//                                        early=hup sends that signal while it reads its configuration
//   agent send term, hup                 SIGTERM, SIGHUP
//   agent send stop, agent send go       it gets no more of the core, and gets it again
//   agent send descriptors=20            it may hold no more from here on
//   agent send reload [key=value ...]    writes it anew, with feed2 for its feed, and sends SIGHUP
//   agent expect exit=N | log=TEXT       its end, or a line of its log that holds TEXT
//   v1 send setup 7 class=free wait=900  a viewers' message; also test, release, ...; raw=HEX for any bytes
//   v1 expect answer 7 body=there        the next message, with at least these fields
//   v1 begin setup 7, v1 complete        half of a message, and later the other half
//   s1 expect START 7 rung=1             the same for a server, whose messages may come on any connection
//   s1 send STARTED 7 blob=there         also text=LINE as it stands, part=TEXT without its line feed
//   s1 expect connection [0.5]           one more than it has accepted, within so long, s; what s1 sends from
//                                        then on goes there
//   feed expect after=3, feed send n=4 s1=draining, feed send comment, feed deaf, feed hear
//   feed send n=4 s3=at:s1               a new server at the address of another one
//   feed send n=4 revision=9             where the list's revision is not the event's number
//   X expect nothing 0.3, X expect closed, X close, X reset, v1 flood
//   s1 oldest, s1 newest                 what it sends from then on goes to that one of its open connections
//   s1 deaf, s1 hear                     new connections to it stay silent; come up again
//   s1 refuse                            new connections are refused, those that it has stay open and silent
//   s1 always reset, close, garbage, half, NOTICE ..., or pieces=0.15 FINISH ... [FINISH ...]
//                                        what it does on each new connection from now on, by itself: closes
//                                        it, or writes this and leaves it open; in pieces with that pause
//                                        between them, s. `then close` at the end: and closes it
//   stands 7                             v1 has asked for session 7, and it plays at s1
//   v1 within 9 expect release 7         within so long, s
//   wait 0.2
//   directory send s1=removed, directory wait s=60 s2=held, directory expect s1=gone s2=there
//   viewer-codec, server-codec, feed-codec: `send` bytes in single steps, `expect` what they mean
//
// Values of the form hex:00ff are bytes. Servers s1, s2, ... are all that the text names.
#pragma once

#include <string>
#include <string_view>

namespace scenario {

// Plays the lines and returns what went wrong, with its line; empty when all went as told.
std::string play(std::string_view text);

// Bytes as hex digits, for `raw=` and `hex:`.
std::string hex_of(std::string_view bytes);

}  // namespace scenario
