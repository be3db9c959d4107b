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

// Kind says what a message is.
type Kind uint16

// The kinds of messages.
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
	// KindForwardKeyed hands a non-idempotent request to the owner of its shard.
	KindForwardKeyed
	// KindWorkerStates asks the coordinator what it knows of the workers.
	KindWorkerStates
	// KindExplain asks the coordinator why work waits.
	KindExplain
	// KindOwnersPull asks for the owners of units.
	KindOwnersPull
	// KindWorkersLeaving tells the owner of a rack that workers leave.
	KindWorkersLeaving
)

// Purpose classes traffic for counting and budgets.
type Purpose uint8

// The purposes.
const (
	PurposeControl Purpose = iota
	PurposeRequest
	PurposeDedup
	PurposeBatch
)

// PurposeCount is the number of purposes.
const PurposeCount = 4

var purposeNames = [PurposeCount]string{"control", "request", "dedup", "batch"}

// String returns the name used in metrics and logs.
func (p Purpose) String() string { return purposeNames[p] }

// Purpose returns the purpose of messages of this kind.
func (k Kind) Purpose() Purpose {
	switch k {
	case KindForward, KindForwardKeyed:
		return PurposeRequest
	case KindDedupRecord, KindDedupTransfer:
		return PurposeDedup
	case KindBulk:
		return PurposeBatch
	default:
		return PurposeControl
	}
}

const (
	// MaxFrame is the largest payload of a frame in bytes.
	MaxFrame = 64 << 10
	// MaxMessage is the largest message in bytes, summed over its frames.
	MaxMessage = 16 << 20
	// maxDatagram is the largest one-way message in bytes: the smallest QUIC packet less headers and authentication.
	maxDatagram = 1100

	frameHeaderBytes = 4
	finalFlag        = uint32(1) << 31
)

// requestHead opens a stream. Stream calls carry their own head as payload.
type requestHead struct {
	Kind    Kind          `cbor:"1,keyasint"`
	Session uint64        `cbor:"2,keyasint"`
	Timeout time.Duration `cbor:"3,keyasint,omitempty"`
	Stream  bool          `cbor:"4,keyasint,omitempty"`
	Payload []byte        `cbor:"5,keyasint,omitempty"`
}

// replyHead opens the answer. An empty Code means success.
type replyHead struct {
	Code       fault.Code    `cbor:"1,keyasint,omitempty"`
	Outcome    api.Outcome   `cbor:"2,keyasint,omitempty"`
	Detail     string        `cbor:"3,keyasint,omitempty"`
	RetryAfter time.Duration `cbor:"4,keyasint,omitempty"`
	Payload    []byte        `cbor:"5,keyasint,omitempty"`
}

type datagram struct {
	_       struct{} `cbor:",toarray"`
	Kind    Kind
	Session uint64
	Payload cbor.RawMessage
}

// RemoteError is a failure that the other instance reported.
type RemoteError struct {
	RemoteCode fault.Code
	Detail     string
	RetryAfter time.Duration
}

// Error names the code and the detail.
func (e *RemoteError) Error() string { return "remote: " + string(e.RemoteCode) + ": " + e.Detail }

// Code implements fault.Coded.
func (e *RemoteError) Code() fault.Code { return e.RemoteCode }

// RetryDelay returns the time after which a retry may succeed.
func (e *RemoteError) RetryDelay() time.Duration { return e.RetryAfter }

func (h *replyHead) failure() error {
	if h.Code == "" {
		return nil
	}
	err := errors.WithStack(&RemoteError{RemoteCode: h.Code, Detail: h.Detail, RetryAfter: h.RetryAfter})
	if h.Outcome == api.NotRun {
		return fault.NotRun(err)
	}
	return fault.Unknown(err)
}

func replyOf(err error) replyHead {
	d := fault.Describe(err)
	return replyHead{Code: d.Code, Outcome: fault.OutcomeOf(err), Detail: err.Error(), RetryAfter: d.RetryAfter}
}

// Encode encodes a message.
func Encode(message any) ([]byte, error) {
	data, err := cbor.Marshal(message)
	if err != nil {
		return nil, fault.New(fault.CodeInternal, "peer encode", "%T: %v", message, err)
	}
	return data, nil
}

// Decode decodes a message.
func Decode(data []byte, message any) error {
	if err := cbor.Unmarshal(data, message); err != nil {
		return fault.New(fault.CodeInvalid, "peer decode", "%T: %v", message, err)
	}
	return nil
}

// writeFrame writes one frame and returns the number of bytes that it took.
func writeFrame(w io.Writer, payload []byte, final bool) (int, error) {
	header := uint32(len(payload))
	if final {
		header |= finalFlag
	}
	frame := make([]byte, frameHeaderBytes, frameHeaderBytes+len(payload))
	binary.BigEndian.PutUint32(frame, header)
	return w.Write(append(frame, payload...))
}

// writeMessage writes a message as frames, the last of them final.
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

// readMessage reads frames up to the final one. A stream that ends before it is CodeTruncated.
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
