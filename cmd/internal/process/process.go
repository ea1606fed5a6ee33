// Package process holds tests that run each entry VM as a process of its own. They kill, pause and partition these
// processes with real signals and broken connections.
package process
