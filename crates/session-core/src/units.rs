//! Sizes and rates with their units.

use std::fmt;
use std::num::ParseFloatError;
use std::num::ParseIntError;
use std::str::FromStr;

use serde::Deserialize;
use serde::Serialize;

macro_rules! define_unit {
    ($(#[$doc:meta])* $name:ident, $repr:ty, $error:ty) => {
        $(#[$doc])*
        #[derive(Debug, Clone, Copy, Default, PartialEq, PartialOrd, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(pub $repr);

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, "{}", self.0)
            }
        }

        impl FromStr for $name {
            type Err = $error;

            fn from_str(text: &str) -> Result<Self, Self::Err> {
                text.parse().map(Self)
            }
        }
    };
}

define_unit!(
    /// The rate of a team, in requests per second for the whole fleet.
    RequestRate, f64, ParseFloatError
);
define_unit!(
    /// The burst of a team, in requests for the whole fleet.
    RequestBurst, f64, ParseFloatError
);
define_unit!(
    /// The number of statements that an endpoint runs at once, over all instances.
    SlotCount, u32, ParseIntError
);
define_unit!(
    /// The processor capacity of an instance, in thousandths of a core.
    #[derive(Eq, Ord, Hash)]
    ProcessorShare, u32, ParseIntError
);
define_unit!(
    /// The number of connections that an endpoint accepts, over all instances.
    ConnectionCount, u32, ParseIntError
);
define_unit!(
    /// A size in bytes.
    ByteSize, u64, ParseIntError
);
define_unit!(
    /// The maximum accepted age of data, in milliseconds.
    StalenessLimit, u64, ParseIntError
);
define_unit!(
    /// The weight of a team when teams compete for slots; the default is 1.
    TeamWeight, f64, ParseFloatError
);
