// Package admission decides which waiting statement is served next, which ones are refused since they can't be served
// in time, and when a refused caller is to retry.
//
// It answers two load patterns. In one, more statements arrive than are served: a statement that waits to the end of
// its wait bound and is refused then leaves its caller no time for another attempt. In the other, many callers are
// refused together, because of a burst or an outage: if they are told to return after the same short time, they use up
// their attempts before there is capacity for them.
package admission
