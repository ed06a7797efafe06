// Package targetlimit divides the rates that targets accept from the whole fleet among its
// routers. A target names its limit in responses, each of which only one router receives; the
// routers tell each other what they have heard, and how much they send. It is a deterministic
// state machine without I/O or clock: statements, reports and requests are passed in together
// with the current time.
//
// A limit of a few requests per second stands before hundreds of routers, so a router's part
// is far below one request in the age of the reports. Each router therefore gets permits at
// random, as a Poisson process at its part of the rate, and a permit that is not used soon
// expires. The part follows the router's demand. The rate of all permits together follows
// the requests that the fleet has sent: it is above the limit while fewer have been sent, so
// that permits which expire are made up for, and below it while more have.
//
// A target that is cold accepts the few requests per second that the configuration states, in
// any one second. Random permits would exceed that now and then. The right to send to it is
// leased instead: a Lessor, one router of several, grants it to one router or a few as a rate
// for a short time, and these space their requests evenly. Where a target also states a limit,
// both must allow a request.
//
// Invariants:
//   - The expected number of requests that the fleet sends in a second is at most the limit
//     once reports have arrived, whatever the number of routers.
//   - A router that does not hear of others counts them as using their part: those that it
//     has not heard of since its start, and those that fell silent less than absentTTL ago.
//   - The latest statement of a target counts, whichever router received it. Routers pass on
//     only what they have received from targets themselves, so that statements do not
//     circulate.
//   - A router without a valid lease sends nothing to a cold run. The leases that one lessor
//     has granted for a run, and that may still be in use, keep the bound twice over.
package targetlimit
