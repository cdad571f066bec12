package relay

import (
	"cmp"
	"slices"

	"github.com/greengagegate/greengagegate/internal/mirror"
	"github.com/greengagegate/greengagegate/store"
)

// maxLoggedChanges bounds the changes that a copy keeps for peers. A peer that lacks more
// of them gets all objects.
const maxLoggedChanges = 512

// prefixCopy is what this gateway has read under one prefix, from the store or from a peer.
// Its zero value has read nothing. It is not safe for concurrent use.
type prefixCopy struct {
	objects map[string]store.Object
	// changes are the newest changes in version order. They are complete since logStart.
	changes  []store.Object
	logStart int64
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
		c.changes = append(c.changes, object)
		if object.Deleted {
			delete(c.objects, object.Key)
		} else {
			c.objects[object.Key] = object
		}
	}
	c.version = update.Version
	c.trim()
	return true
}

// replace replaces the copy by all objects under the prefix.
func (c *prefixCopy) replace(update *mirror.Update) {
	c.objects = make(map[string]store.Object, len(update.Objects))
	for _, object := range update.Objects {
		c.objects[object.Key] = object
	}
	c.changes = nil
	c.version, c.logStart = update.Version, update.Version
}

// trim drops the oldest changes beyond maxLoggedChanges.
func (c *prefixCopy) trim() {
	excess := len(c.changes) - maxLoggedChanges
	if excess <= 0 {
		return
	}
	c.logStart = c.changes[excess-1].Version
	c.changes = slices.Delete(c.changes, 0, excess)
}

// since returns what the copy has beyond a position. ok is false if it has nothing more. It
// returns all objects if the copy does not have the changes since that position.
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
	first, _ := slices.BinarySearchFunc(c.changes, from.version+1, func(object store.Object, target int64) int {
		return cmp.Compare(object.Version, target)
	})
	update.Objects = slices.Clone(c.changes[first:])
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
