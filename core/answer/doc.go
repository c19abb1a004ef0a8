// Package answer decides whether an answer of a member belongs to the request that waits for it. Answers name no request: they
// are matched by their order alone. A member may send an answer again at any later time, and such a copy then takes the place of
// the answer to a later request. A copy is told from what it says and from what the connection has carried before.
package answer
