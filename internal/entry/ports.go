// Package entry is the gateway process for a platform that keeps the operators'
// configuration and the upstreams' entries in its own store. Around one blackboard, it
// connects the followers of the store, the exchange between gateways, placement, quotas
// and the server for callers.
package entry

import (
	"github.com/goldcrestspool/goldcrestspool/internal/directory"
	"github.com/goldcrestspool/goldcrestspool/internal/finding"
	"github.com/goldcrestspool/goldcrestspool/internal/forward"
	"github.com/goldcrestspool/goldcrestspool/internal/ident"
	"github.com/goldcrestspool/goldcrestspool/internal/ingress"
	"github.com/goldcrestspool/goldcrestspool/internal/platform"
	"github.com/goldcrestspool/goldcrestspool/internal/relay"
	"github.com/goldcrestspool/goldcrestspool/internal/rollout"
	"github.com/goldcrestspool/goldcrestspool/internal/routetable"
)

// Protocol translates between the gateway's types and the wire protocols of callers and
// upstreams.
type Protocol interface {
	ingress.Protocol
	forward.Dialect
	relay.Dialect
}

// Ports connect the process to the platform.
type Ports struct {
	Protocol Protocol
	// Store holds the topics that operators and upstreams write.
	Store platform.KeyedLog
	// Eras are the eras of the store that this process knows; nil where the store names none.
	Eras *platform.Eras
	// Duties is the platform's interface for what one gateway at a time does; nil where
	// the platform has none.
	Duties platform.Duties
	// ConfigTopic and ConfigKey are where the operators write their configuration, and
	// UpstreamsTopic is where the upstreams write their entries.
	ConfigTopic, ConfigKey, UpstreamsTopic string
	// DecodeConfig decodes the operators' configuration; record is its name in findings.
	DecodeConfig func(record string, data []byte) (*routetable.Table, finding.List)
	// DecodeUpstream decodes the entry of the upstream with the given ID; record is its
	// name in findings.
	DecodeUpstream func(record, id string, data []byte) (directory.Upstream, finding.List)
	// DecodeRollout decodes a rollout order. It returns false if the key is not that of an
	// order. If there are findings, only the order's service is valid. It may be nil.
	DecodeRollout func(topic, key string, data []byte, at ident.Position) (rollout.Order, bool, finding.List)
	// RolloutReports is where the operators read the progress of their rollout orders.
	RolloutReports rollout.StatusTopic
	// StoreCalls returns how many calls of the store were made and how many of them failed.
	StoreCalls func() (made, failed int64)
}
