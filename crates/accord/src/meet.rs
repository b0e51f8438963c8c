//! Values that can be tightened. Each kind says one thing alone: what of two values binds where both may be in force.
//! All else follows: what binds is one of the two, then the other is looser; or neither, then they are contrary.

/// How a value changes from one version to the next.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Class {
    Same,
    /// Whoever acts on the new one breaks nothing of the old one.
    Tighter,
    /// Whoever acts on the old one breaks nothing of the new one.
    Looser,
    /// Neither may be acted on beside the other.
    Contrary,
}

/// A value of which two versions may be in force at once.
pub trait Meet: Clone + PartialEq {
    /// What binds while both may be in force: no looser than either, and the same whichever comes first.
    fn meet(&self, other: &Self) -> Self;
}

/// The class of a change.
pub fn class<T: Meet>(old: &T, new: &T) -> Class {
    let meet = old.meet(new);
    match (meet == *old, meet == *new) {
        (true, true) => Class::Same,
        (false, true) => Class::Tighter,
        (true, false) => Class::Looser,
        (false, false) => Class::Contrary,
    }
}

/// The smaller figure binds.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
pub struct Least(pub f64);

/// The larger figure binds.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
pub struct Most(pub f64);

/// A permission: what one withholds is withheld.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Permits(pub bool);

/// One of several, of which the later binds in the order in which they are written.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Strictest<T>(pub T);

/// A fact on which both must agree: where they do not, none is acted on, and None binds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Agreed<T>(pub Option<T>);

/// What no rule looks at; two values stand side by side. The larger is kept, only for the order not to matter.
#[derive(Clone, Debug)]
pub struct Free<T>(pub T);

impl<T> PartialEq for Free<T> {
    fn eq(&self, _: &Self) -> bool {
        true
    }
}

impl Meet for Least {
    fn meet(&self, other: &Self) -> Self {
        Least(self.0.min(other.0))
    }
}

impl Meet for Most {
    fn meet(&self, other: &Self) -> Self {
        Most(self.0.max(other.0))
    }
}

impl Meet for Permits {
    fn meet(&self, other: &Self) -> Self {
        Permits(self.0 && other.0)
    }
}

impl<T: Copy + Ord> Meet for Strictest<T> {
    fn meet(&self, other: &Self) -> Self {
        (*self).max(*other)
    }
}

impl<T: Clone + PartialEq> Meet for Agreed<T> {
    fn meet(&self, other: &Self) -> Self {
        if self == other { self.clone() } else { Agreed(None) }
    }
}

impl<T: Clone + PartialOrd> Meet for Free<T> {
    fn meet(&self, other: &Self) -> Self {
        if self.0 >= other.0 { self.clone() } else { other.clone() }
    }
}
