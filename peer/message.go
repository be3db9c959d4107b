package peer

import (
	"encoding/binary"
	"io"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"bronzehook/api"
	"bronzehook/fault"
)

// Kind identifies the type of a message.
type Kind uint16

// Message kinds.
const (
	KindHeartbeat Kind = iota + 1
	KindForward
	KindDedupRecord
	KindDedupTransfer
	KindAssignTask
	KindStopTask
	KindTaskReport
	KindEndpointPull
	KindConfigPull
	KindHandover
	KindBulk
	// KindForwardKeyed forwards a request with an idempotency key to the owner of its shard.
	KindForwardKeyed
	// KindWorkerStates requests the states of the workers from the coordinator.
	KindWorkerStates
	// KindExplain requests from the coordinator the reason why a workload waits.
	KindExplain
	// KindOwnersPull fetches the owners of ownership units.
	KindOwnersPull
	// KindWorkersLeaving notifies the owner of a rack that workers are leaving.
	KindWorkersLeaving
)

// TrafficClass is the traffic class of a message, used for byte counts and traffic budgets.
type TrafficClass uint8

// Traffic classes.
const (
	TrafficControl TrafficClass = iota
	TrafficRequest
	TrafficDedup
	TrafficBatch
)

// TrafficClassCount is the number of traffic classes.
const TrafficClassCount = 4

var trafficClassNames = [TrafficClassCount]string{"control", "request", "dedup", "batch"}

// String returns the name used in metrics and logs.
func (p TrafficClass) String() string { return trafficClassNames[p] }

// TrafficClass returns the traffic class of messages of this kind.
func (k Kind) TrafficClass() TrafficClass {
	switch k {
	case KindForward, KindForwardKeyed:
		return TrafficRequest
	case KindDedupRecord, KindDedupTransfer:
		return TrafficDedup
	case KindBulk:
		return TrafficBatch
	default:
		return TrafficControl
	}
}

const (
	// MaxFrame is the maximum payload of a frame in bytes.
	MaxFrame = 64 << 10
	// MaxMessage is the maximum size of a message in bytes, summed over its frames.
	MaxMessage = 16 << 20
	// maxDatagram is the maximum size of an encoded one-way message in bytes. It fits into the smallest QUIC packet
	// size after headers and the authentication tag.
	maxDatagram = 1100

	frameHeaderBytes = 4
	// finalFlag marks the final frame of a message; the other bits of the header are the length of the payload.
	finalFlag = uint32(1) << 31
)

// requestHead is the first message on a stream. The payload is the request or, for a streaming call, the caller's head.
type requestHead struct {
	Kind    Kind          `cbor:"1,keyasint"`
	Session uint64        `cbor:"2,keyasint"`
	Timeout time.Duration `cbor:"3,keyasint,omitempty"`
	Stream  bool          `cbor:"4,keyasint,omitempty"`
	Payload []byte        `cbor:"5,keyasint,omitempty"`
}

// responseHead is the first message of the response. An empty Code means success.
type responseHead struct {
	Code       fault.Code    `cbor:"1,keyasint,omitempty"`
	Outcome    api.Outcome   `cbor:"2,keyasint,omitempty"`
	Detail     string        `cbor:"3,keyasint,omitempty"`
	RetryAfter time.Duration `cbor:"4,keyasint,omitempty"`
	Payload    []byte        `cbor:"5,keyasint,omitempty"`
}

// datagram is a one-way message.
type datagram struct {
	_       struct{} `cbor:",toarray"`
	Kind    Kind
	Session uint64
	Payload cbor.RawMessage
}

// RemoteError is an error that the other instance returned.
type RemoteError struct {
	RemoteCode fault.Code
	Detail     string
	RetryAfter time.Duration
}

// Error returns the code and the detail.
func (e *RemoteError) Error() string { return "remote: " + string(e.RemoteCode) + ": " + e.Detail }

// Code implements fault.Coded.
func (e *RemoteError) Code() fault.Code { return e.RemoteCode }

// RetryDelay returns the delay after which a retry may succeed.
func (e *RemoteError) RetryDelay() time.Duration { return e.RetryAfter }

// failure returns the error that the response reports, or nil.
func (h *responseHead) failure() error {
	if h.Code == "" {
		return nil
	}
	err := errors.WithStack(&RemoteError{RemoteCode: h.Code, Detail: h.Detail, RetryAfter: h.RetryAfter})
	if h.Outcome == api.NotRun {
		return fault.NotRun(err)
	}
	return fault.Unknown(err)
}

// errorResponse returns the response head that reports err.
func errorResponse(err error) responseHead {
	d := fault.Describe(err)
	return responseHead{Code: d.Code, Outcome: fault.OutcomeOf(err), Detail: err.Error(), RetryAfter: d.RetryAfter}
}

// Encode encodes a message as CBOR.
func Encode(message any) ([]byte, error) {
	data, err := cbor.Marshal(message)
	if err != nil {
		return nil, fault.New(fault.CodeInternal, "peer encode", "%T: %v", message, err)
	}
	return data, nil
}

// Decode decodes a CBOR message.
func Decode(data []byte, message any) error {
	if err := cbor.Unmarshal(data, message); err != nil {
		return fault.New(fault.CodeInvalid, "peer decode", "%T: %v", message, err)
	}
	return nil
}

// writeFrame writes one frame in a single write and returns the number of bytes written.
func writeFrame(w io.Writer, payload []byte, final bool) (int, error) {
	header := uint32(len(payload))
	if final {
		header |= finalFlag
	}
	frame := make([]byte, frameHeaderBytes, frameHeaderBytes+len(payload))
	binary.BigEndian.PutUint32(frame, header)
	return w.Write(append(frame, payload...))
}

// writeMessage writes a message as one or more frames, the last of which has the final flag.
func writeMessage(w io.Writer, message []byte) error {
	if len(message) > MaxMessage {
		return fault.New(fault.CodeTooLarge, "peer write", "message of %d bytes", len(message))
	}
	for len(message) > MaxFrame {
		if _, err := writeFrame(w, message[:MaxFrame], false); err != nil {
			return err
		}
		message = message[MaxFrame:]
	}
	_, err := writeFrame(w, message, true)
	return err
}

// readFrameHeader returns the length of the next frame's payload and whether the frame is final.
func readFrameHeader(r io.Reader) (int, bool, error) {
	var header [frameHeaderBytes]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		return 0, false, truncated(err)
	}
	value := binary.BigEndian.Uint32(header[:])
	length := int(value &^ finalFlag)
	if length > MaxFrame {
		return 0, false, fault.New(fault.CodeTooLarge, "peer read", "frame of %d bytes", length)
	}
	return length, value&finalFlag != 0, nil
}

// readMessage reads a message up to its final frame. It fails with CodeTruncated if the stream ends earlier.
func readMessage(r io.Reader) ([]byte, error) {
	var message []byte
	for {
		length, final, err := readFrameHeader(r)
		if err != nil {
			return nil, err
		}
		start := len(message)
		if start+length > MaxMessage {
			return nil, fault.New(fault.CodeTooLarge, "peer read", "message above %d bytes", MaxMessage)
		}
		message = append(message, make([]byte, length)...)
		if _, err := io.ReadFull(r, message[start:]); err != nil {
			return nil, truncated(err)
		}
		if final {
			return message, nil
		}
	}
}

func truncated(err error) error {
	return fault.New(fault.CodeTruncated, "peer read", "stream ended before its final frame: %v", err)
}
