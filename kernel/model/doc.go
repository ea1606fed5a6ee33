// Package model holds the core types of the dispatcher: jobs and their tasks, endpoints, teams,
// profiles and outcomes. The types carry no encoding; front ends and peers translate at the edge,
// so that decision packages can use them without importing a codec.
package model
