package node

import (
	"bytes"
	"testing"

	"github.com/matryer/is"

	"quinceroad/protocol/pack"
)

func TestPeersReceiveACompressedConfiguration(t *testing.T) {
	is := is.New(t)
	text := bytes.Repeat([]byte(`{"name":"r-1","host":"h.example","service":"read"},`), 2000)
	raw := &rawConfig{text: text}
	is.True(len(raw.compressForPeers()) < len(text)/10)
	opened, err := pack.Decompress(raw.compressForPeers())
	is.NoErr(err)
	is.Equal(opened, text)
}
