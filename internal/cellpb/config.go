package cellpb

import (
	"bytes"
	"compress/gzip"
	"errors"
	"fmt"
	"io"

	"google.golang.org/protobuf/proto"

	"catkinvalve/internal/ports"
)

// maxConfigBytes limits a decompressed configuration.
const maxConfigBytes = 32 << 20

// CompressConfig returns a configuration as an encoded Config that is compressed with gzip.
func CompressConfig(c *ports.CellConfig) ([]byte, error) {
	data, err := proto.Marshal(FromConfig(c))
	if err != nil {
		return nil, err
	}
	var out bytes.Buffer
	w := gzip.NewWriter(&out)
	_, err = w.Write(data)
	if err = errors.Join(err, w.Close()); err != nil {
		return nil, err
	}
	return out.Bytes(), nil
}

// DecompressConfig is the inverse of CompressConfig.
func DecompressConfig(data []byte) (*Config, error) {
	r, err := gzip.NewReader(bytes.NewReader(data))
	if err != nil {
		return nil, err
	}
	encoded, err := io.ReadAll(io.LimitReader(r, maxConfigBytes+1))
	if err != nil {
		return nil, err
	}
	if len(encoded) > maxConfigBytes {
		return nil, fmt.Errorf("the configuration is longer than %d bytes", maxConfigBytes)
	}
	p := &Config{}
	if err := proto.Unmarshal(encoded, p); err != nil {
		return nil, err
	}
	return p, nil
}
