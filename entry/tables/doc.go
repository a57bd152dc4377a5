// Package tables keeps the table in force at one instance up to date: it connects a
// replica.Replica to the platform, the peers and the clock. It also delays forwarded
// requests that were resolved by a newer table until that table is installed here.
package tables
