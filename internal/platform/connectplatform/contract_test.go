package connectplatform_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/platform/connectplatform"
	"github.com/goldcrestspool/goldcrestspool/internal/standin/cloud"
	"github.com/goldcrestspool/goldcrestspool/internal/standin/instances"
	"github.com/goldcrestspool/goldcrestspool/internal/standin/logstore"
	"github.com/goldcrestspool/goldcrestspool/internal/standin/weights"
	"github.com/goldcrestspool/goldcrestspool/internal/testkit"
	"github.com/goldcrestspool/goldcrestspool/internal/transport"
)

// testTimeout bounds waits that a correct implementation ends at once.
const testTimeout = 30 * time.Second

// fakes are the stand-ins behind a subject; tests inject faults into them.
type fakes struct {
	log       *logstore.Log
	instances *instances.List
	cloud     *cloud.Cloud
	weights   *weights.Store
}

// subject is an implementation of all interfaces under test, with its fakes.
type subject struct {
	fakes
	connectplatform.Services
}

// onEachImplementation runs a contract test on the fakes in memory and on the Connect
// adapter over a loopback socket.
func onEachImplementation(t *testing.T, test func(t *testing.T, s subject)) {
	t.Run("memory", func(t *testing.T) {
		f := newFakes()
		test(t, subject{f, f.services()})
	})
	t.Run("connect", func(t *testing.T) {
		f := newFakes()
		mux := http.NewServeMux()
		connectplatform.Mount(mux, f.services())
		client := transport.NewClient(transport.Options{})
		t.Cleanup(client.CloseIdleConnections)
		c := connectplatform.NewClient(client, testkit.Serve(t, mux))
		test(t, subject{f, connectplatform.Services{Log: c, Instances: c, Cloud: c, Weights: c}})
	})
}

func newFakes() fakes {
	return fakes{
		log:       logstore.New(logstore.Options{}),
		instances: instances.New(0),
		cloud:     cloud.New(cloud.Options{ChecksFencing: true}),
		weights:   weights.New(weights.Options{ModelBytes: 1000, BytesPerSecond: 1}),
	}
}

func (f fakes) services() connectplatform.Services {
	return connectplatform.Services{Log: f.log, Instances: f.instances, Cloud: f.cloud, Weights: f.weights}
}
