package httpbackend

import (
	"time"

	"bronzehook/api"
	"bronzehook/backend"
	"bronzehook/fault"
)

// Paths of the platform's HTTP interface. The table takes the key in the parameter ParamKey and the prefix in
// ParamPrefix; the object store takes the name in ParamName.
const (
	PathTableRow    = "/table/row"
	PathTableRows   = "/table/rows"
	PathTableCommit = "/table/commit"
	PathObjects     = "/objects"
	PathDirectory   = "/directory"
)

// Parameters of the platform's HTTP interface.
const (
	ParamKey    = "key"
	ParamPrefix = "prefix"
	ParamName   = "name"
)

// Paths of a worker's control interface.
const (
	PathFence      = "/control/fence"
	PathInventory  = "/control/inventory"
	PathStart      = "/control/start"
	PathRenew      = "/control/renew"
	PathThrottle   = "/control/throttle"
	PathCheckpoint = "/control/checkpoint"
	PathStop       = "/control/stop"
	PathAck        = "/control/ack"
	PathUsage      = "/control/usage"
)

// Limits of bodies in bytes. They leave room for a list of all tasks at the size of the design page.
const (
	MaxObjectBytes = 32 << 20
	MaxAnswerBytes = 64 << 20
	MaxOrderBytes  = 16 << 20
)

// ErrorBody is the body of every answer that reports a failure.
type ErrorBody struct {
	Code   fault.Code `json:"code"`
	Detail string     `json:"detail"`
}

// FenceOrder is the body of a fence call.
type FenceOrder struct {
	Epoch api.Epoch `json:"epoch"`
}

// RenewOrder is the body of a lease renewal.
type RenewOrder struct {
	Epoch    api.Epoch         `json:"epoch"`
	Tasks    []backend.TaskRef `json:"tasks"`
	LeaseEnd time.Duration     `json:"leaseEnd"`
}

// ThrottleOrder is the body of a throttle call.
type ThrottleOrder struct {
	Ref   backend.TaskRef `json:"ref"`
	Share float64         `json:"share"`
}

// CheckpointAnswer is the answer to a checkpoint call.
type CheckpointAnswer struct {
	Name string `json:"name"`
}
