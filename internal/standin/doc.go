// Package standin holds small stand-ins for the systems that pearlatch speaks
// to: a database group that speaks the PostgreSQL v3 protocol, the platform's
// key-value service, and a network whose links can be cut and slowed. They
// exist for tests, for the lab and for measurements; they keep everything in
// memory.
package standin
