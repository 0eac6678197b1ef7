// Package recordpack encodes records of the log for transfer between hosts and for snapshots. Large
// packs are compressed with DEFLATE: configurations are highly repetitive and shrink to a fifth
// or less, so that they fit a slow link or a bounded record.
package recordpack

import (
	"bufio"
	"bytes"
	"compress/flate"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"sync"

	"maststage.dev/router/eventlog"
)

// Formats of a pack, given by its first byte.
const (
	formatPlain    = 0
	formatDeflated = 1
)

const (
	// minCompressBytes is the size from which a pack is compressed. Smaller ones fit into a few
	// packets, and a compressor takes some 800 KB.
	minCompressBytes = 4 << 10
	// maxFieldBytes bounds a key or value; the log accepts no larger record.
	maxFieldBytes = 8 << 20
)

// compressors keeps compressors between packs, until the garbage collector needs the memory.
var compressors = sync.Pool{New: func() any {
	// NewWriter fails only for an invalid level.
	w, _ := flate.NewWriter(io.Discard, flate.BestSpeed)
	return w
}}

// Pack encodes records of one era, without it.
func Pack(records []eventlog.Record) ([]byte, error) {
	plain := []byte{formatPlain}
	for _, r := range records {
		plain = appendField(plain, []byte(r.Key))
		plain = appendField(plain, r.Value)
		plain = binary.AppendUvarint(plain, uint64(r.Position.Offset))
	}
	if len(plain) < minCompressBytes {
		return plain, nil
	}
	packed := bytes.NewBuffer([]byte{formatDeflated})
	w := compressors.Get().(*flate.Writer)
	defer compressors.Put(w)
	w.Reset(packed)
	if _, err := w.Write(plain[1:]); err != nil {
		return nil, err
	}
	if err := w.Close(); err != nil {
		return nil, err
	}
	return packed.Bytes(), nil
}

func appendField(to, field []byte) []byte {
	to = binary.AppendUvarint(to, uint64(len(field)))
	return append(to, field...)
}

// Unpack decodes the records of a pack, which are of the given era.
func Unpack(pack []byte, era int64) ([]eventlog.Record, error) {
	if len(pack) == 0 {
		return nil, errors.New("empty pack of records")
	}
	var from io.Reader = bytes.NewReader(pack[1:])
	switch pack[0] {
	case formatPlain:
	case formatDeflated:
		from = flate.NewReader(from)
	default:
		return nil, fmt.Errorf("pack of records has unknown format %d", pack[0])
	}
	in := bufio.NewReader(from)
	var records []eventlog.Record
	for {
		r, err := readRecord(in)
		if errors.Is(err, io.EOF) {
			return records, nil
		}
		if err != nil {
			return nil, fmt.Errorf("decode record %d of a pack: %w", len(records), err)
		}
		r.Position.Era = era
		records = append(records, r)
	}
}

// readRecord reads one record. It returns io.EOF at the end of the pack.
func readRecord(in *bufio.Reader) (eventlog.Record, error) {
	if _, err := in.Peek(1); err != nil {
		return eventlog.Record{}, err
	}
	key, err := readField(in)
	if err != nil {
		return eventlog.Record{}, err
	}
	value, err := readField(in)
	if err != nil {
		return eventlog.Record{}, err
	}
	offset, err := binary.ReadUvarint(in)
	if err != nil {
		return eventlog.Record{}, unexpectedEOF(err)
	}
	return eventlog.Record{Key: string(key), Value: value, Position: eventlog.Position{Offset: int64(offset)}}, nil
}

func readField(in *bufio.Reader) ([]byte, error) {
	n, err := binary.ReadUvarint(in)
	if err != nil {
		return nil, unexpectedEOF(err)
	}
	if n > maxFieldBytes {
		return nil, fmt.Errorf("field of %d bytes exceeds the limit", n)
	}
	if n == 0 {
		return nil, nil
	}
	field := make([]byte, n)
	if _, err := io.ReadFull(in, field); err != nil {
		return nil, unexpectedEOF(err)
	}
	return field, nil
}

// unexpectedEOF marks an EOF within a record, as opposed to one after the last record.
func unexpectedEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}
