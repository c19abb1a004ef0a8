// Package admission decides which waiting request is served next, and predicts
// the wait of a new request so that one that can't be served in time can be
// refused on arrival.
package admission
