package relay

import (
	"cmp"
	"slices"

	"github.com/greengagegate/greengagegate/internal/mirror"
	"github.com/greengagegate/greengagegate/store"
)

const (
	// maxLoggedChanges bounds the changed keys that a copy remembers for peers, and
	// maxLoggedKeyBytes their length. A peer that lacks more of them gets all objects.
	maxLoggedChanges  = 512
	maxLoggedKeyBytes = 64 << 10
	// objectBytes is the memory of an object beside its key, value and status.
	objectBytes = 200
)

// change is the newest change of a key.
type change struct {
	key     string
	version int64
}

// prefixCopy is what this gateway has read under one prefix, from the store or from a peer. It
// holds each object once, as it is now, so that its memory does not grow with the number of
// changes. Its zero value has read nothing. It is not safe for concurrent use.
type prefixCopy struct {
	objects map[string]store.Object
	// objectBytes is the memory of objects.
	objectBytes int64
	// changes are the newest changes in version order, at most one of each key. They are complete
	// since logStart. changedAt holds the version of each by key; keyBytes is the length of the keys.
	changes   []change
	changedAt map[string]int64
	keyBytes  int
	logStart  int64
	// version is the store version up to which the copy is complete; 0 if nothing was read.
	version int64
	// newest is the version of the newest change that was read. A list does not show the
	// versions of deletions.
	newest int64
	// list identifies the list of all objects on which the copy is based. The store can
	// leave changes out of polls before it compacts its history, and only the next list
	// shows them, so a copy that is based on an earlier list is not complete up to its
	// version.
	list uint64
}

// position is how far a reader has read a copy.
type position struct {
	version int64
	list    uint64
}

// record adds an update that is based on a list, and reports whether it was news.
func (c *prefixCopy) record(update *mirror.Update, list uint64) bool {
	for _, object := range update.Objects {
		c.newest = max(c.newest, object.Version)
	}
	isNewList := update.Full && list != c.list
	if update.Version < c.version || update.Version == c.version && !isNewList {
		return false
	}
	if update.Full {
		c.replace(update)
		c.list = list
		return true
	}
	for _, object := range update.Objects {
		if object.Version <= c.version {
			continue
		}
		c.remove(object.Key)
		if !object.Deleted {
			c.add(object)
		}
		c.logChange(change{object.Key, object.Version})
	}
	c.version = update.Version
	c.trim()
	return true
}

// replace replaces the copy by all objects under the prefix.
func (c *prefixCopy) replace(update *mirror.Update) {
	c.objects, c.objectBytes = make(map[string]store.Object, len(update.Objects)), 0
	for _, object := range update.Objects {
		c.add(object)
	}
	c.changes, c.changedAt, c.keyBytes = nil, nil, 0
	c.version, c.logStart = update.Version, update.Version
}

// add adds an object whose key the copy does not have.
func (c *prefixCopy) add(object store.Object) {
	if c.objects == nil {
		c.objects = make(map[string]store.Object)
	}
	c.objects[object.Key] = object
	c.objectBytes += bytesOf(&object)
}

// remove removes the object with a key, if there is one.
func (c *prefixCopy) remove(key string) {
	if object, ok := c.objects[key]; ok {
		delete(c.objects, key)
		c.objectBytes -= bytesOf(&object)
	}
}

// bytesOf returns the memory of an object.
func bytesOf(object *store.Object) int64 {
	return objectBytes + int64(len(object.Key)+len(object.Value)+len(object.Status))
}

// bytes returns the memory of the copy.
func (c *prefixCopy) bytes() int64 { return c.objectBytes + int64(c.keyBytes) }

// logChange remembers a change, in place of an earlier one of the same key.
func (c *prefixCopy) logChange(newest change) {
	if c.changedAt == nil {
		c.changedAt = make(map[string]int64)
	}
	if former, ok := c.changedAt[newest.key]; ok {
		i := c.firstAfter(former - 1)
		i += slices.Index(c.changes[i:], change{newest.key, former})
		c.changes = slices.Delete(c.changes, i, i+1)
		c.keyBytes -= len(newest.key)
	}
	c.changes = append(c.changes, newest)
	c.changedAt[newest.key] = newest.version
	c.keyBytes += len(newest.key)
}

// firstAfter returns the index of the first change after a version.
func (c *prefixCopy) firstAfter(version int64) int {
	i, _ := slices.BinarySearchFunc(c.changes, version+1, func(logged change, target int64) int {
		return cmp.Compare(logged.version, target)
	})
	return i
}

// trim drops the oldest changes beyond maxLoggedChanges and maxLoggedKeyBytes.
func (c *prefixCopy) trim() {
	excess := 0
	for len(c.changes)-excess > maxLoggedChanges || c.keyBytes > maxLoggedKeyBytes {
		oldest := c.changes[excess]
		c.logStart = oldest.version
		c.keyBytes -= len(oldest.key)
		delete(c.changedAt, oldest.key)
		excess++
	}
	c.changes = slices.Delete(c.changes, 0, excess)
}

// since returns what the copy has beyond a position: each object that has changed, as it is now. ok is
// false if it has nothing more. It returns all objects if the copy does not have the changes since that
// position.
func (c *prefixCopy) since(from position) (update mirror.Update, ok bool) {
	isOtherList := from.list != c.list
	if c.version < from.version || c.version == from.version && !isOtherList {
		return mirror.Update{}, false
	}
	update = mirror.Update{Version: c.version, Relayed: true}
	if isOtherList || from.version < c.logStart {
		update.Full = true
		update.Objects = c.all()
		return update, true
	}
	for _, logged := range c.changes[c.firstAfter(from.version):] {
		object, exists := c.objects[logged.key]
		if !exists {
			object = store.Object{Key: logged.key, Version: logged.version, Deleted: true}
		}
		update.Objects = append(update.Objects, object)
	}
	return update, true
}

// all returns all objects in key order.
func (c *prefixCopy) all() []store.Object {
	objects := make([]store.Object, 0, len(c.objects))
	for _, object := range c.objects {
		objects = append(objects, object)
	}
	slices.SortFunc(objects, func(a, b store.Object) int { return cmp.Compare(a.Key, b.Key) })
	return objects
}
