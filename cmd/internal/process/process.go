// Package process holds tests that run entry VMs as processes of their own and end, stop and cut
// them off with real signals and broken connections.
package process
