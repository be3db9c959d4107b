package tablefeed

import (
	"bytes"
	"compress/gzip"
	"io"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"bronzehook/store"
)

const (
	// minPackedBytes is the size from which on values are compressed.
	minPackedBytes = 4 << 10
	// maxValueBytes bounds a value after decompression, maxDeltaBytes an encoded delta. The store accepts transactions of
	// store.MaxBytes only.
	maxValueBytes = 4 << 20
	maxDeltaBytes = 16 << 20
)

// packedValue is the compressed value of a version of a row.
type packedValue struct {
	version uint64
	value   []byte
}

// wireDelta is a Delta on the wire.
type wireDelta struct {
	_       struct{} `cbor:",toarray"`
	Version uint64
	Full    bool
	AgeMS   int64
	Rows    []wireRow
}

type wireRow struct {
	_       struct{} `cbor:",toarray"`
	Name    string
	Value   []byte
	Packed  bool
	Version uint64
	Deleted bool
}

// encode encodes a delta of the copy. Compressed values are kept, since all peers ask for the same ones.
func (c *Copy) encode(delta *Delta) ([]byte, error) {
	// An age is rounded up, so that no peer takes the rows for newer than they are.
	wire := wireDelta{Version: delta.Version, Full: delta.Full, AgeMS: (delta.Age + time.Millisecond - 1).Milliseconds()}
	for _, row := range delta.Rows {
		value, packed, err := c.pack(&row)
		if err != nil {
			return nil, err
		}
		wire.Rows = append(wire.Rows, wireRow{Name: row.Name, Value: value, Packed: packed, Version: row.Version, Deleted: row.Deleted})
	}
	encoded, err := cbor.Marshal(&wire)
	return encoded, errors.Wrap(err, "encode a delta")
}

// pack returns the value of a row as it is sent, and whether that is compressed.
func (c *Copy) pack(row *store.Row) (value []byte, packed bool, err error) {
	if len(row.Value) < minPackedBytes {
		return row.Value, false, nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if known, ok := c.packed[row.Name]; ok && known.version == row.Version {
		return known.value, true, nil
	}
	var buffer bytes.Buffer
	writer, err := gzip.NewWriterLevel(&buffer, gzip.BestSpeed)
	if err != nil {
		return nil, false, errors.Wrap(err, "compress a value")
	}
	if _, err := writer.Write(row.Value); err != nil {
		return nil, false, errors.Wrap(err, "compress a value")
	}
	if err := writer.Close(); err != nil {
		return nil, false, errors.Wrap(err, "compress a value")
	}
	c.packed[row.Name] = packedValue{version: row.Version, value: buffer.Bytes()}
	return buffer.Bytes(), true, nil
}

// decode decodes a delta of a table.
func decode(table string, encoded []byte) (Delta, error) {
	var wire wireDelta
	if err := cbor.Unmarshal(encoded, &wire); err != nil {
		return Delta{}, errors.Wrap(err, "decode a delta")
	}
	delta := Delta{Version: wire.Version, Full: wire.Full, Age: time.Duration(max(0, wire.AgeMS)) * time.Millisecond}
	for _, row := range wire.Rows {
		value := row.Value
		if row.Packed {
			unpacked, err := unpack(row.Value)
			if err != nil {
				return Delta{}, err
			}
			value = unpacked
		}
		delta.Rows = append(delta.Rows, store.Row{
			Key: store.Key{Table: table, Name: row.Name}, Value: value, Version: row.Version, Deleted: row.Deleted,
		})
	}
	return delta, nil
}

func unpack(packed []byte) ([]byte, error) {
	reader, err := gzip.NewReader(bytes.NewReader(packed))
	if err != nil {
		return nil, errors.Wrap(err, "decompress a value")
	}
	value, err := io.ReadAll(io.LimitReader(reader, maxValueBytes+1))
	if err != nil {
		return nil, errors.Wrap(err, "decompress a value")
	}
	if len(value) > maxValueBytes {
		return nil, errors.WithStack(&TooLargeError{})
	}
	return value, nil
}
