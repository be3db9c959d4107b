// Package carrier spreads the leader's calls to workers over other instances. The leader decides, and a carrier makes the
// calls: it gets batches of them over one connection, makes each with its own client of the workers, and sends the results
// back in batches. A carrier decides nothing and keeps no state beyond the connection. What a call may do is decided by the
// leader's fencing token and attempt lease in it, as for a direct call.
//
// The calls to one worker go through one carrier. If the leader changes it, the fencing token for the worker has to grow,
// so that calls which the former carrier still makes are refused.
package carrier
