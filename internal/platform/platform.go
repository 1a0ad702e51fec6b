// Package platform defines the interfaces of the platform that the system runs on: a
// log, a list of instances, a cloud API and a weight store. Adapters for particular
// protocols live in packages of their own.
package platform

import (
	"context"
	"errors"
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/ident"
)

// The errors that an adapter must tell apart; compare with errors.Is.
var (
	// ErrUnavailable means that the platform did not accept the request. The records of
	// an append are then not in the log and never will be.
	ErrUnavailable = errors.New("platform unavailable")
	// ErrAnswerLost means that the request may have taken effect or may still do so.
	ErrAnswerLost = errors.New("platform answer lost")
	// ErrExpired means that the requested records are no longer kept.
	ErrExpired = errors.New("log records expired")
	// ErrNoCapacity means that the cloud has no such instance now.
	ErrNoCapacity = errors.New("no capacity")
	// ErrOldFence means that the request carried an old fencing number and had no
	// effect.
	ErrOldFence = errors.New("old fencing number")
)

// Record is one record of a stream.
type Record struct {
	Offset ident.Offset
	Data   []byte
	// AppendedAt is a time of the log's clock; compare it only with times of the same
	// clock.
	AppendedAt time.Time
}

// Batch is the answer to a read.
type Batch struct {
	Records []Record
	// Head is the offset that the next appended record will get.
	Head ident.Offset
	// First is the oldest offset still kept.
	First ident.Offset
}

// Log is the platform's append-only log.
type Log interface {
	// Append adds all records at consecutive offsets, or none of them, and returns the
	// offset of the first. Errors: ErrUnavailable, ErrAnswerLost.
	Append(ctx context.Context, stream string, records [][]byte) (ident.Offset, error)
	// Read returns up to limit records from offset from on. It waits up to
	// wait for a first one and returns an empty batch if none came. Errors:
	// ErrUnavailable; ErrExpired, with Batch.First set.
	Read(ctx context.Context, stream string, from ident.Offset, limit int, wait time.Duration) (Batch, error)
}

// Role says what an instance runs.
type Role int

// The roles.
const (
	RoleEntry  Role = 1
	RoleEngine Role = 2
	RolePlain  Role = 3
)

// InstanceState is an instance's state in the platform's list.
type InstanceState int

// The states, in the order in which an instance passes through them.
const (
	Live    InstanceState = 1
	Leaving InstanceState = 2
	Ended   InstanceState = 3
)

// Instance is one entry of the platform's list, which lags behind.
type Instance struct {
	ID            ident.Instance
	Incarnation   ident.Incarnation
	Role          Role
	Service       ident.Service
	Region        ident.Region
	FailureDomain ident.FailureDomain
	Class         ident.MachineClass
	Reclaimable   bool
	// Address is host:port for callers (entry) or for work (upstream).
	Address string
	// PeerAddress is host:port for other gateways; empty for upstreams.
	PeerAddress string
	State       InstanceState
}

// Instances lists the instances as they were some seconds ago.
type Instances interface {
	List(ctx context.Context) ([]Instance, error)
}

// StartRequest asks for one new instance.
type StartRequest struct {
	// StartID identifies the request, so that a repeat of it starts no second instance.
	StartID       string
	Service       ident.Service
	Role          Role
	FailureDomain ident.FailureDomain
	Class         ident.MachineClass
	Reclaimable   bool
	Fence         ident.Fence
}

// Notice announces the end of an instance.
type Notice struct {
	Sequence    uint64
	Instance    ident.Instance
	Incarnation ident.Incarnation
	// EndsIn is the time that was left when the notice was read.
	EndsIn time.Duration
}

// Cloud starts and stops instances and announces reclaims.
type Cloud interface {
	// Start errors: ErrNoCapacity, ErrOldFence, ErrUnavailable,
	// ErrAnswerLost.
	Start(ctx context.Context, req StartRequest) (ident.Instance, error)
	// Stop errors: ErrOldFence, ErrUnavailable, ErrAnswerLost. Stopping an
	// ended instance succeeds.
	Stop(ctx context.Context, id ident.Instance, fence ident.Fence) error
	// Notices returns the notices with a sequence above after.
	Notices(ctx context.Context, after uint64) ([]Notice, error)
}

// Transfer is a granted transfer from the weight store.
type Transfer struct {
	Bytes    uint64
	Duration time.Duration
}

// Weights is the rate-limited weight store.
type Weights interface {
	Reserve(ctx context.Context, model, version string) (Transfer, error)
}
