package pb_test

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"testing"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protodesc"
	"google.golang.org/protobuf/reflect/protoreflect"
	"google.golang.org/protobuf/types/descriptorpb"
	"google.golang.org/protobuf/types/dynamicpb"

	"quinceroad/protocol/pb"
)

// Builds of several releases run concurrently, so each must read what the others
// write. For each release, testdata holds every message with all its fields as
// encoded by that build, and the build's descriptor. The folder of a release is
// written by its own build: go test ./protocol/pb -record testdata/COMMIT.

var record = flag.String("record", "", "folder in which to write this build's messages")

const descriptorFile = "descriptor.bin"

// maxDepth is the depth up to which nested messages are filled.
const maxDepth = 4

// fillMessage sets all fields of m except maps, and nested messages from maxDepth on.
func fillMessage(m protoreflect.Message, depth int) {
	fields := m.Descriptor().Fields()
	for i := range fields.Len() {
		f := fields.Get(i)
		switch {
		case f.IsMap() || f.Message() != nil && depth == maxDepth:
		case f.IsList():
			list := m.Mutable(f).List()
			for n := range 2 {
				list.Append(fieldValue(f, list.NewElement, n, depth))
			}
		default:
			m.Set(f, fieldValue(f, func() protoreflect.Value { return m.NewField(f) }, 0, depth))
		}
	}
}

// fieldValue returns a value that differs from the field's default.
func fieldValue(f protoreflect.FieldDescriptor, newValue func() protoreflect.Value, n, depth int) protoreflect.Value {
	number := int64(f.Number())*7 + int64(n) + 1
	switch f.Kind() {
	case protoreflect.MessageKind, protoreflect.GroupKind:
		v := newValue()
		fillMessage(v.Message(), depth+1)
		return v
	case protoreflect.StringKind:
		return protoreflect.ValueOfString(fmt.Sprint("text", number))
	case protoreflect.BytesKind:
		return protoreflect.ValueOfBytes([]byte(fmt.Sprint("bytes", number)))
	case protoreflect.BoolKind:
		return protoreflect.ValueOfBool(true)
	case protoreflect.EnumKind:
		return protoreflect.ValueOfEnum(1)
	case protoreflect.Int32Kind, protoreflect.Sint32Kind, protoreflect.Sfixed32Kind:
		return protoreflect.ValueOfInt32(int32(number))
	case protoreflect.Uint32Kind, protoreflect.Fixed32Kind:
		return protoreflect.ValueOfUint32(uint32(number))
	case protoreflect.Int64Kind, protoreflect.Sint64Kind, protoreflect.Sfixed64Kind:
		return protoreflect.ValueOfInt64(number)
	case protoreflect.Uint64Kind, protoreflect.Fixed64Kind:
		return protoreflect.ValueOfUint64(uint64(number))
	case protoreflect.FloatKind:
		return protoreflect.ValueOfFloat32(float32(number))
	default:
		return protoreflect.ValueOfFloat64(float64(number))
	}
}

func TestRecordMessages(t *testing.T) {
	if *record == "" {
		return // run by hand, for a release
	}
	is := is.New(t)
	is.NoErr(os.MkdirAll(*record, 0o755))
	file := (&pb.Heartbeat{}).ProtoReflect().Descriptor().ParentFile()
	write := func(name string, m proto.Message) {
		data, err := proto.MarshalOptions{Deterministic: true}.Marshal(m)
		is.NoErr(err)
		is.NoErr(os.WriteFile(filepath.Join(*record, name), data, 0o644))
	}
	write(descriptorFile, protodesc.ToFileDescriptorProto(file))
	for i := range file.Messages().Len() {
		m := dynamicpb.NewMessage(file.Messages().Get(i))
		fillMessage(m, 0)
		write(string(m.Descriptor().Name())+".bin", m)
	}
}

// recordedReleases returns the folders of the recorded releases.
func recordedReleases(t *testing.T) []string {
	t.Helper()
	all, err := filepath.Glob("testdata/*/" + descriptorFile)
	if err != nil || len(all) < 2 {
		t.Fatalf("%d releases are recorded, want at least 2; error: %v", len(all), err)
	}
	for i, f := range all {
		all[i] = filepath.Dir(f)
	}
	return all
}

// Messages of an earlier release must decode without unknown fields and encode to
// the same bytes again.
func TestRecordedMessagesAreRead(t *testing.T) {
	file := (&pb.Heartbeat{}).ProtoReflect().Descriptor().ParentFile()
	for _, release := range recordedReleases(t) {
		names, err := filepath.Glob(release + "/*.bin")
		if err != nil {
			t.Fatal(err)
		}
		for _, name := range names {
			base := filepath.Base(name)
			if base == descriptorFile {
				continue
			}
			data, err := os.ReadFile(name)
			if err != nil {
				t.Fatal(err)
			}
			d := file.Messages().ByName(protoreflect.Name(base[:len(base)-len(".bin")]))
			if d == nil {
				t.Errorf("%s: message does not exist in this build", name)
				continue
			}
			m := dynamicpb.NewMessage(d)
			if err := proto.Unmarshal(data, m); err != nil {
				t.Errorf("%s: %v", name, err)
				continue
			}
			for _, fault := range unknownFields(m) {
				t.Errorf("%s: %s", name, fault)
			}
			if again, err := (proto.MarshalOptions{Deterministic: true}).Marshal(m); err != nil || string(again) != string(data) {
				t.Errorf("%s: encoding differs after decoding, error: %v", name, err)
			}
		}
	}
}

// unknownFields describes the messages that have unknown fields.
func unknownFields(m protoreflect.Message) (out []string) {
	if len(m.GetUnknown()) > 0 {
		out = append(out, "message "+string(m.Descriptor().Name())+" has unknown fields")
	}
	m.Range(func(f protoreflect.FieldDescriptor, v protoreflect.Value) bool {
		switch {
		case f.Message() == nil || f.IsMap():
		case f.IsList():
			for i := range v.List().Len() {
				out = append(out, unknownFields(v.List().Get(i).Message())...)
			}
		default:
			out = append(out, unknownFields(v.Message())...)
		}
		return true
	})
	return out
}

// A field must keep its number, name and type, or its number and name must be
// reserved.
func TestRecordedFieldsAreKept(t *testing.T) {
	file := (&pb.Heartbeat{}).ProtoReflect().Descriptor().ParentFile()
	for _, release := range recordedReleases(t) {
		data, err := os.ReadFile(filepath.Join(release, descriptorFile))
		if err != nil {
			t.Fatal(err)
		}
		old := &descriptorpb.FileDescriptorProto{}
		if err := proto.Unmarshal(data, old); err != nil {
			t.Fatal(err)
		}
		for _, fault := range incompatibilities(old, file) {
			t.Errorf("%s: %s", release, fault)
		}
	}
}

// incompatibilities describes the fields of old that file lacks or has changed and
// does not reserve.
func incompatibilities(old *descriptorpb.FileDescriptorProto, file protoreflect.FileDescriptor) (out []string) {
	for _, m := range old.MessageType {
		now := file.Messages().ByName(protoreflect.Name(m.GetName()))
		if now == nil {
			out = append(out, m.GetName()+" is gone")
			continue
		}
		for _, f := range m.Field {
			if fault := fieldIncompatibility(f, now); fault != "" {
				out = append(out, m.GetName()+"."+f.GetName()+" "+fault)
			}
		}
	}
	return out
}

func fieldIncompatibility(f *descriptorpb.FieldDescriptorProto, now protoreflect.MessageDescriptor) string {
	number, name := protoreflect.FieldNumber(f.GetNumber()), protoreflect.Name(f.GetName())
	n := now.Fields().ByNumber(number)
	switch {
	case n == nil && now.ReservedRanges().Has(number) && now.ReservedNames().Has(name):
		return ""
	case n == nil:
		return fmt.Sprintf("had number %d, which is not reserved", number)
	case n.Name() != name:
		return fmt.Sprintf("had number %d, which %s has now", number, n.Name())
	}
	d := protodesc.ToFieldDescriptorProto(n)
	if d.GetType() != f.GetType() || d.GetLabel() != f.GetLabel() || d.GetTypeName() != f.GetTypeName() {
		return fmt.Sprintf("was %v %v %s and is %v %v %s", f.GetLabel(), f.GetType(), f.GetTypeName(), d.GetLabel(), d.GetType(), d.GetTypeName())
	}
	return ""
}

// A reused number, a changed type and a removed field are detected and named; an
// added field is allowed.
func TestBreakingChangeIsDetected(t *testing.T) {
	is := is.New(t)
	file := (&pb.Heartbeat{}).ProtoReflect().Descriptor().ParentFile()
	for _, c := range []struct {
		change func(f *descriptorpb.FieldDescriptorProto)
		fault  string
	}{
		{func(f *descriptorpb.FieldDescriptorProto) { f.Name = proto.String("other") }, "SickReplica.other had number 2, which left_ms has now"},
		{func(f *descriptorpb.FieldDescriptorProto) { f.Number = proto.Int32(9) }, "SickReplica.left_ms had number 9, which is not reserved"},
		{func(f *descriptorpb.FieldDescriptorProto) {
			f.Type = descriptorpb.FieldDescriptorProto_TYPE_STRING.Enum()
		},
			"SickReplica.left_ms was LABEL_OPTIONAL TYPE_STRING  and is LABEL_OPTIONAL TYPE_UINT32 "},
	} {
		old := protodesc.ToFileDescriptorProto(file)
		for _, m := range old.MessageType {
			if m.GetName() == "SickReplica" {
				c.change(m.Field[1])
			}
		}
		is.Equal(incompatibilities(old, file), []string{c.fault})
	}
	older := protodesc.ToFileDescriptorProto(file)
	older.MessageType[0].Field = older.MessageType[0].Field[1:]
	is.Equal(len(incompatibilities(older, file)), 0)
}
