// Package recordpack packs records of the log for other hosts and for copies. Large packs
// are deflated: configurations are mostly the same words again, and shrink to a fifth or
// less, which is what a thin link or a bounded record has room for.
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

// Forms of a pack, its first byte.
const (
	formPlain    = 0
	formDeflated = 1
)

const (
	// deflateFrom is the size in bytes above which a pack is deflated. Smaller ones fit into
	// a few packets, and a compressor takes some 800 KB.
	deflateFrom = 4 << 10
	// maxField bounds a key or value in bytes; the log takes no larger record.
	maxField = 8 << 20
)

// compressors are kept between packs, while memory is not short.
var compressors = sync.Pool{New: func() any {
	// The level is a valid one, the only error there is.
	w, _ := flate.NewWriter(io.Discard, flate.BestSpeed)
	return w
}}

// Pack packs records.
func Pack(records []eventlog.Record) ([]byte, error) {
	plain := []byte{formPlain}
	for _, r := range records {
		plain = appendField(plain, []byte(r.Key))
		plain = appendField(plain, r.Value)
		plain = binary.AppendUvarint(plain, uint64(r.Offset))
	}
	if len(plain) < deflateFrom {
		return plain, nil
	}
	packed := bytes.NewBuffer([]byte{formDeflated})
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

// Unpack gives the records of a pack.
func Unpack(pack []byte) ([]eventlog.Record, error) {
	if len(pack) == 0 {
		return nil, errors.New("an empty pack of records")
	}
	var from io.Reader = bytes.NewReader(pack[1:])
	switch pack[0] {
	case formPlain:
	case formDeflated:
		from = flate.NewReader(from)
	default:
		return nil, fmt.Errorf("a pack of records of the unknown form %d", pack[0])
	}
	in := bufio.NewReader(from)
	var records []eventlog.Record
	for {
		r, err := readRecord(in)
		if errors.Is(err, io.EOF) {
			return records, nil
		}
		if err != nil {
			return nil, fmt.Errorf("record %d of a pack: %w", len(records), err)
		}
		records = append(records, r)
	}
}

// readRecord reads one record; io.EOF means that there is none.
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
		return eventlog.Record{}, cut(err)
	}
	return eventlog.Record{Key: string(key), Value: value, Offset: int64(offset)}, nil
}

func readField(in *bufio.Reader) ([]byte, error) {
	n, err := binary.ReadUvarint(in)
	if err != nil {
		return nil, cut(err)
	}
	if n > maxField {
		return nil, fmt.Errorf("a field of %d bytes", n)
	}
	if n == 0 {
		return nil, nil
	}
	field := make([]byte, n)
	if _, err := io.ReadFull(in, field); err != nil {
		return nil, cut(err)
	}
	return field, nil
}

// cut tells a pack that ends within a record from one that ends behind it.
func cut(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}
