package httpbackend

import (
	"time"

	"bronzehook/api"
	"bronzehook/backend"
	"bronzehook/fault"
)

// Paths of the platform's HTTP interface. The table expects the key in query parameter ParamKey and the prefix in
// ParamPrefix; the object store expects the name of the object in ParamName.
const (
	PathTableRow    = "/table/row"
	PathTableRows   = "/table/rows"
	PathTableCommit = "/table/commit"
	PathObjects     = "/objects"
	PathDirectory   = "/directory"
)

// Query parameters of the platform's HTTP interface.
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

// Maximum sizes of bodies in bytes. They allow for a list of all tasks of a fleet of the size in the design page.
const (
	MaxObjectBytes   = 32 << 20
	MaxResponseBytes = 64 << 20
	MaxRequestBytes  = 16 << 20
)

// ErrorBody is the body of every response that reports a failure.
type ErrorBody struct {
	Code   fault.Code `json:"code"`
	Detail string     `json:"detail"`
}

// FenceRequest is the request body of a fence call.
type FenceRequest struct {
	Epoch api.Epoch `json:"epoch"`
}

// RenewRequest is the request body of a call that renews attempt leases.
type RenewRequest struct {
	Epoch    api.Epoch         `json:"epoch"`
	Tasks    []backend.TaskRef `json:"tasks"`
	LeaseEnd time.Duration     `json:"leaseEnd"`
}

// ThrottleRequest is the request body of a throttle call.
type ThrottleRequest struct {
	Ref   backend.TaskRef `json:"ref"`
	Share float64         `json:"share"`
}

// CheckpointResponse is the response body of a checkpoint call.
type CheckpointResponse struct {
	Name string `json:"name"`
}
