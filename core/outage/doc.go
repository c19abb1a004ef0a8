// Package outage predicts how long something that is away will stay away, so that whoever
// can't live to see its return is refused at once and told when to come back.
package outage
