// Package poison recognises requests that end the engines which run them, and keeps
// them from ending more.
//
// Such a request comes again under other ids, at any node. It is known by its
// Fingerprint: who sent it, to what, with which body.
package poison
