// Package poison recognises requests that end the engines which run them, and keeps
// them from ending more.
//
// Such a request comes again under other ids, at any node. It is known by its
// Fingerprint: who sent it, to what, with which body. A Record holds the engines that
// have ended while they had the request.
//
// Table is pure: it decides from records and the time whether a request is held back.
// Guard is the shell of a node. A node that sees an engine end tells the data nodes
// which of its requests that engine had; they tell all others at once, and keep the
// record in the platform's store, so that it outlives a restart of all nodes. Records
// merge in any order and any number of times.
//
// Invariants: a request that has ended endedMost engines reaches none at a node that
// knows it, whatever its way (a first try, a retry, an item of a batch job), until its
// time is over. A request that an engine has answered whole is never held back: others
// that were at the same engine when it ended are told from the one that ended it.
package poison
