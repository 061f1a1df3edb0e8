package wire

import (
	"errors"
	"runtime"
	"testing"
	"time"

	"github.com/camphorpaddle/camphorpaddle/core/proto"
	"github.com/camphorpaddle/camphorpaddle/core/types"
	"gotest.tools/v3/assert"
)

// sampleFrames returns a frame of each kind.
func sampleFrames() []Frame {
	config := &types.Config{Version: 3, Services: map[types.ServiceName]types.Service{"ledger": {
		Name: "ledger", Members: 3, Slots: 5, Connections: 55, Profiles: []types.ProfileName{"strict"},
	}}}
	return []Frame{
		{Hello: &Hello{Version: 1, Host: "a", Role: RoleProxy, Key: "k"}},
		{KeepAlive: &KeepAlive{}},
		{Message: &proto.Message{Kind: proto.MsgAppend, From: "a", To: "b", Term: 4, Round: 9, Entries: []proto.Entry{
			{Index: 7, Term: 4, Command: proto.Command{Change: &proto.ChangeConfig{ID: "c", Config: config, Source: "text"}}},
		}}},
		{Message: &proto.Message{Kind: proto.MsgSnapshot, Snapshot: &proto.Snapshot{Index: 2, State: proto.ClusterState{Config: config}}}},
		{LeaseRequest: &proto.LeaseRequest{Proxy: "p", Seq: 2, SentAt: 5, Held: []proto.ShareHeld{{Demand: 3}}}},
		{LeaseGrant: &proto.LeaseGrant{Proxy: "p", Duration: time.Second, View: &proto.ViewUpdate{
			Version: 8, Groups: []*types.Group{{Service: "ledger", Term: 2, History: types.TermHistory{{Term: 1}}}},
		}}},
	}
}

func TestEncodeDecodeRoundTrip(t *testing.T) {
	for _, f := range sampleFrames() {
		b, err := Encode(f)
		assert.NilError(t, err)
		got, err := Decode(b, maxControlFrameBytes)
		assert.NilError(t, err)
		assert.DeepEqual(t, got, f)
		again, err := Encode(got)
		assert.NilError(t, err)
		assert.DeepEqual(t, again, b) // canonical
	}
}

func TestDecodeErrors(t *testing.T) {
	b, err := Encode(sampleFrames()[2])
	assert.NilError(t, err)
	_, err = Decode(b, len(b)-1)
	assert.Assert(t, errors.As(err, new(*SizeError)), "%v", err)
	both, err := Encode(Frame{Hello: &Hello{}, KeepAlive: &KeepAlive{}})
	assert.NilError(t, err)
	for _, bad := range [][]byte{nil, {0xff}, b[:len(b)-1], append(b, 0), both} {
		_, err := Decode(bad, maxControlFrameBytes)
		assert.Assert(t, errors.As(err, new(*FrameError)), "%v", err)
	}
}

// TestClaimedLengthIsNotAllocated decodes a frame that claims four billion entries
// and holds none: the decoder must not allocate memory for them.
func TestClaimedLengthIsNotAllocated(t *testing.T) {
	b := []byte{0x85, 0xf6, 0x8d, 1, 0x61, 'a', 0x61, 'b', 1, 0, 0, 0x9a, 0xff, 0xff, 0xff, 0xff}
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	_, err := Decode(b, maxControlFrameBytes)
	runtime.ReadMemStats(&after)
	assert.Assert(t, errors.As(err, new(*FrameError)), "%v", err)
	allocated := after.TotalAlloc - before.TotalAlloc
	assert.Assert(t, allocated < 1<<20, "%d bytes were allocated", allocated)
}

// FuzzDecode checks that any bytes decode to a frame that can be encoded again, or
// give a typed error.
func FuzzDecode(f *testing.F) {
	for _, s := range sampleFrames() {
		b, err := Encode(s)
		assert.NilError(f, err)
		f.Add(b)
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		frame, err := Decode(b, maxProxyFrameBytes)
		if err != nil {
			if !errors.As(err, new(*SizeError)) && !errors.As(err, new(*FrameError)) {
				t.Fatalf("unknown error %v", err)
			}
			return
		}
		again, err := Encode(frame)
		assert.NilError(t, err)
		_, err = Decode(again, 2*maxProxyFrameBytes)
		assert.NilError(t, err)
	})
}

func BenchmarkCodec(b *testing.B) {
	samples := sampleFrames()
	for name, f := range map[string]Frame{
		"append": samples[2], "snapshot": samples[3], "lease_request": samples[4], "lease_grant": samples[5],
	} {
		encoded, err := Encode(f)
		assert.NilError(b, err)
		b.Run(name+"/encode", func(b *testing.B) {
			for b.Loop() {
				_, _ = Encode(f)
			}
			b.ReportMetric(float64(len(encoded)), "frame-bytes")
		})
		b.Run(name+"/decode", func(b *testing.B) {
			for b.Loop() {
				_, _ = Decode(encoded, maxControlFrameBytes)
			}
		})
	}
}
