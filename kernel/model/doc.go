// Package model holds the core types of the dispatcher: jobs and their tasks, endpoints, teams,
// profiles and outcomes. The types define no encoding: front ends and the peer protocol translate at
// the edge, so that decision packages can use the types without importing a codec.
package model
