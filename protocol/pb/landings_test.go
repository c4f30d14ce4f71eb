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

// Builds of several landings serve side by side, so each reads what the others
// write. testdata holds, by landing, every message with all its fields as that
// build wrote it, and how that build described them. A landing's folder is written
// by its own build: go test ./protocol/pb -record testdata/COMMIT.

var record = flag.String("record", "", "folder in which to write this build's messages")

const descriptorFile = "descriptor.bin"

// deepest is how far messages within messages are filled.
const deepest = 4

func fill(m protoreflect.Message, depth int) {
	fields := m.Descriptor().Fields()
	for i := range fields.Len() {
		f := fields.Get(i)
		switch {
		case f.IsMap() || f.Message() != nil && depth == deepest:
		case f.IsList():
			list := m.Mutable(f).List()
			for n := range 2 {
				list.Append(value(f, list.NewElement, n, depth))
			}
		default:
			m.Set(f, value(f, func() protoreflect.Value { return m.NewField(f) }, 0, depth))
		}
	}
}

// value is a value of a field that no default equals.
func value(f protoreflect.FieldDescriptor, fresh func() protoreflect.Value, n, depth int) protoreflect.Value {
	number := int64(f.Number())*7 + int64(n) + 1
	switch f.Kind() {
	case protoreflect.MessageKind, protoreflect.GroupKind:
		v := fresh()
		fill(v.Message(), depth+1)
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

func TestRecordThisBuildsMessages(t *testing.T) {
	if *record == "" {
		return // by hand, for a landing
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
		fill(m, 0)
		write(string(m.Descriptor().Name())+".bin", m)
	}
}

// landings returns the folders of the landings that are recorded.
func landings(t *testing.T) []string {
	t.Helper()
	all, err := filepath.Glob("testdata/*/" + descriptorFile)
	if err != nil || len(all) < 2 {
		t.Fatalf("%d landings are recorded, %v", len(all), err)
	}
	for i, f := range all {
		all[i] = filepath.Dir(f)
	}
	return all
}

// What an earlier landing wrote is read whole, and written again as it was.
func TestMessagesOfLandingsAreRead(t *testing.T) {
	file := (&pb.Heartbeat{}).ProtoReflect().Descriptor().ParentFile()
	for _, landing := range landings(t) {
		names, err := filepath.Glob(landing + "/*.bin")
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
				t.Errorf("%s: this build has no such message", name)
				continue
			}
			m := dynamicpb.NewMessage(d)
			if err := proto.Unmarshal(data, m); err != nil {
				t.Errorf("%s: %v", name, err)
				continue
			}
			for _, fault := range unread(m) {
				t.Errorf("%s: %s", name, fault)
			}
			if again, err := (proto.MarshalOptions{Deterministic: true}).Marshal(m); err != nil || string(again) != string(data) {
				t.Errorf("%s: written again it differs, %v", name, err)
			}
		}
	}
}

// unread names the messages of which fields were not known.
func unread(m protoreflect.Message) (out []string) {
	if len(m.GetUnknown()) > 0 {
		out = append(out, "fields of "+string(m.Descriptor().Name())+" are not known")
	}
	m.Range(func(f protoreflect.FieldDescriptor, v protoreflect.Value) bool {
		switch {
		case f.Message() == nil || f.IsMap():
		case f.IsList():
			for i := range v.List().Len() {
				out = append(out, unread(v.List().Get(i).Message())...)
			}
		default:
			out = append(out, unread(v.Message())...)
		}
		return true
	})
	return out
}

// A field keeps its number, name and type, or its number and name are reserved.
func TestFieldsOfLandingsAreKept(t *testing.T) {
	file := (&pb.Heartbeat{}).ProtoReflect().Descriptor().ParentFile()
	for _, landing := range landings(t) {
		data, err := os.ReadFile(filepath.Join(landing, descriptorFile))
		if err != nil {
			t.Fatal(err)
		}
		old := &descriptorpb.FileDescriptorProto{}
		if err := proto.Unmarshal(data, old); err != nil {
			t.Fatal(err)
		}
		for _, fault := range broken(old, file) {
			t.Errorf("%s: %s", landing, fault)
		}
	}
}

func broken(old *descriptorpb.FileDescriptorProto, file protoreflect.FileDescriptor) (out []string) {
	for _, m := range old.MessageType {
		now := file.Messages().ByName(protoreflect.Name(m.GetName()))
		if now == nil {
			out = append(out, m.GetName()+" is gone")
			continue
		}
		for _, f := range m.Field {
			if fault := changed(f, now); fault != "" {
				out = append(out, m.GetName()+"."+f.GetName()+" "+fault)
			}
		}
	}
	return out
}

func changed(f *descriptorpb.FieldDescriptorProto, now protoreflect.MessageDescriptor) string {
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

// A number that another field gets, a type that changes and a field that goes are
// noticed, by name; a field that is added is not.
func TestABreakingChangeIsNoticed(t *testing.T) {
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
		is.Equal(broken(old, file), []string{c.fault})
	}
	older := protodesc.ToFileDescriptorProto(file)
	older.MessageType[0].Field = older.MessageType[0].Field[1:]
	is.Equal(len(broken(older, file)), 0)
}
