// Package tables keeps the tables in force at one instance: it drives a
// replica.Replica with the platform, the peers and the clock, and holds back
// forwarded requests that were resolved by a newer table until it is here.
package tables
